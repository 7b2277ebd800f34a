// Declarative files and settings of clementinelb.
//
// Operators declare models, adapters, serving groups, organisations and routes
// in INI files. All files are accepted or rejected together: the result is
// either a valid Configuration or a list of findings (errors with file and
// line). An accepted configuration is split into sections. Each section is
// stored under the digest of its text; an update transfers only the sections
// that differ.
//
//   ParseResult result = ParseConfiguration({{"site.ini", text}});
//   if (!result.findings.empty()) Report(result.findings);
//
// ParseSettings parses the settings of a daemon and reports errors as findings,
// too.
#ifndef CONFIG_CONFIG_H_
#define CONFIG_CONFIG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace clementine {

/// Maximum size of an object's value in the platform's object API, in bytes.
inline constexpr std::size_t kMaxObjectBytes = 1'000'000;

/// Parses a JSON text.
/// @throws nlohmann::json::exception when the text is not JSON, contains a
///     number that overflows a double, or exceeds the maximum nesting depth
///     (see NestsTooDeeply).
nlohmann::json ParseJson(std::string_view text);

/// Whether a JSON text is nested more than 64 levels deep, which no valid
/// document is. The limit bounds the stack: the serializer recurses once for
/// each level.
bool NestsTooDeeply(std::string_view text);

/// Parses a JSON text that contains entries of several writers. A malformed
/// entry must not make the others unreadable: a value beyond the maximum
/// nesting depth and a number that overflows a double are read as null; a
/// control character or invalid UTF-8 byte in a string is read as "?".
/// @throws nlohmann::json::exception when the text is not JSON otherwise.
nlohmann::json ParseJsonLeniently(std::string_view text);

/// Parses a JSON text. Returns a discarded value when ParseJson would throw.
nlohmann::json TryParseJson(std::string_view text);

/// Serializes a JSON value.
/// @param indent Spaces per level; negative: all on one line.
/// @throws nlohmann::json::type_error when a string is not valid UTF-8.
std::string JsonText(const nlohmann::json& value, int indent = -1);

/// An error in a file and its location.
struct Finding {
  std::string file;
  int line = 0;  ///< Counted from 1; 0 if the finding concerns the file.
  std::string message;
};

/// Formats a finding as "file:line: message", or as "file: message" if the
/// line is 0.
std::string FormatFinding(const Finding& finding);

/// Service objective of a request; determines its priority and its limits.
enum class RequestClass {
  kCounter,  ///< Interactive; short time to first token.
  kStream,   ///< Streaming; steady token rate.
  kBatch,    ///< Throughput until the deadline; may be preempted.
  kPlain,    ///< Call to a service that is not a model.
};

/// Returns "counter", "stream", "batch" or "plain".
const char* RequestClassName(RequestClass request_class);

struct ModelSpec {
  std::string name;
  std::string version;
  std::string weights;        ///< Name of the weights in the weight store.
  int hosts_per_replica = 1;  ///< Hosts that one replica is spread over.
  std::vector<std::string> adapters;
  std::chrono::seconds load_time{60};  ///< Expected duration of loading.
  int max_running = 8;                 ///< Concurrent requests per replica.
};

struct GroupSpec {
  std::string name;  ///< Replicas are named "<name>/<index>".
  std::string model;
  std::string data_centre;
  int replicas = 1;
};

struct OrganisationSpec {
  std::string name;
  double weight = 1.0;     ///< Relative share of the capacity.
  int max_in_flight = 64;  ///< Sum over the entry hosts of a data centre.
  int max_queued = 256;
};

struct RouteSpec {
  std::string path;  ///< HTTP path prefix.
  RequestClass request_class = RequestClass::kCounter;
  std::string model;          ///< Set if the route leads to a model.
  std::string service;        ///< Set if it leads to a plain service.
  bool idempotent = true;     ///< If false, a request is executed at most once.
  bool key_required = false;  ///< Reject requests without idempotency key.
  std::chrono::milliseconds timeout{30'000};
};

struct ServiceSpec {
  std::string name;
  std::vector<std::string> hosts;  ///< Hosts of kind "plain" that run it.
};

/// Weights of the two terms of the placement's cost function.
struct PlacementSpec {
  double downtime_weight = 1.0;   ///< Cost per group and second of downtime.
  double stranded_weight = 0.25;  ///< Cost per stranded accelerator and second.
};

/// All declarations of the operators. Maps are keyed by name.
struct Configuration {
  std::map<std::string, ModelSpec> models;
  std::map<std::string, GroupSpec> groups;
  std::map<std::string, OrganisationSpec> organisations;
  std::map<std::string, RouteSpec> routes;  ///< Keyed by path.
  std::map<std::string, ServiceSpec> services;
  PlacementSpec placement;
};

struct SourceFile {
  std::string name;
  std::string text;
};

struct ParseResult {
  Configuration configuration;
  std::vector<Finding> findings;  ///< Empty when the configuration is valid.
};

/// Parses and validates declarative files as one configuration.
/// @param files All files; each section may be defined only once in all files.
/// @return The configuration, or the findings of all files in file order.
ParseResult ParseConfiguration(const std::vector<SourceFile>& files);

/// A section of a configuration, stored under the digest of its text.
struct ConfigSection {
  std::string name;    ///< Such as "model chat" or "route /v1/orders".
  std::string digest;  ///< 32 hexadecimal digits of the text's XXH3-128.
  std::string text;    ///< Canonical INI text of the section.
};

/// Maximum number of earlier apply ids in a head.
inline constexpr std::size_t kMaxEarlierApplies = 16;

/// Manifest of an accepted configuration: its generation and the digests of its
/// sections. Stored as object `config/head`.
struct ConfigHead {
  std::uint64_t generation = 0;  ///< Incremented by each accepted apply.
  /// Unique for each apply. An operator whose reply was lost finds out by it
  /// whether the apply was accepted.
  std::string apply_id;
  std::string author;
  std::map<std::string, std::string> sections;  ///< Digest by section name.
  /// Apply ids of the previous generations, newest first. An operator whose
  /// reply was lost finds the apply here if a later one has superseded it.
  std::vector<std::string> earlier_applies{};
};

/// Splits a configuration into sections with canonical text.
std::vector<ConfigSection> SplitSections(const Configuration& configuration);

/// Parses the texts of sections as one configuration. A text that does not
/// match its digest is a finding.
ParseResult JoinSections(const std::vector<ConfigSection>& sections);

/// Returns the XXH3-128 hash of a text as 32 hexadecimal digits.
std::string TextDigest(const std::string& text);

/// Returns the first 64 bits of the hash that TextDigest() returns.
std::uint64_t TextHash(std::string_view text);

/// Returns the digest of the section names and digests of a head. Heads with
/// equal sections have equal digests.
std::string HeadDigest(const ConfigHead& head);

/// Encodes a head as JSON.
std::string EncodeHead(const ConfigHead& head);

/// Decodes a head from JSON.
/// @throws std::runtime_error when the text is not a valid head.
ConfigHead DecodeHead(const std::string& json);

/// A section that differs between two heads.
struct SectionChange {
  enum class Kind { kAdded, kRemoved, kChanged };
  Kind kind = Kind::kChanged;
  std::string name;
};

/// Returns one entry for each section that differs.
std::vector<SectionChange> DiffHeads(const ConfigHead& from,
                                     const ConfigHead& to);

/// Settings of a daemon.
struct Settings {
  std::string node;  ///< Unique node name; defaults to `listen`.
  std::string region;
  std::string data_centre;
  /// Interface `relay` only: capacity of this entry host relative to the
  /// others, such as its number of cores.
  double capacity = 1.0;
  /// Protocol of callers and the platform: `chat`, or `relay`, which forwards
  /// requests unmodified to backend servers of the platform's registry.
  std::string interface = "chat";
  /// Interface `relay` only: the system as a whole starts for the first time.
  bool first_start = false;
  std::string listen = "127.0.0.1:0";  ///< HTTP address for callers.
  /// Interface `relay` only: address of /readyz and /metrics.
  std::string health;
  std::string peer_listen = "127.0.0.1:0";  ///< nng address for other daemons.
  std::vector<std::string> peer_seeds;  ///< Peers to contact first for joining.
  std::string platform;                 ///< Address of the platform's API.
  std::string platform_token;
  std::string peer_key;  ///< Shared key that authenticates peer messages.
  /// Interface `relay` only: second key that is accepted from peers during a
  /// key rotation.
  std::string peer_previous_key;
  std::string backend_token;  ///< Authenticates to backend servers.
  std::map<std::string, std::string> organisation_tokens;  ///< By organisation.
  std::string idempotency_header = "Idempotency-Key";
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 1'048'576;
  std::size_t max_connections = 4096;
  std::size_t max_queued = 4096;
  /// Memory that the process may use, in bytes, and its open descriptors;
  /// 0: unknown.
  std::size_t memory = 0;
  std::size_t max_descriptors = 0;
  /// Requests that may reach a cold backend server within a second: its rate
  /// multiplied by `cold_overshoot`, plus `cold_tolerance`.
  double cold_overshoot = 1.0;
  double cold_tolerance = 0.0;
  /// Second attempts that may be started for slow ones, per request; 0: none.
  double hedge_ratio = 0.0;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds body_timeout{30'000};
  std::chrono::milliseconds probe_interval{1'000};
  std::chrono::milliseconds presence_timeout{3'000};
  std::chrono::milliseconds lease_duration{10'000};
  std::chrono::milliseconds longest_order{5'000};
  std::chrono::milliseconds first_token_timeout{10'000};
  std::chrono::milliseconds token_gap_timeout{2'000};
  std::chrono::milliseconds connect_timeout{500};
  /// Delay from the failure of /readyz to the refusal of requests. The load
  /// balancer has to notice the failure within it.
  std::chrono::milliseconds drain_wait{5'000};
  /// Address at which this daemon offers the changes of the platform's objects
  /// to other daemons; empty: not offered.
  std::string listen_changes;
  /// Maximum time until all daemons send no new work to a backend server that
  /// is leaving.
  std::chrono::milliseconds leaving_notice{2'000};
  /// Maximum time until a new configuration is in force on all daemons.
  std::chrono::milliseconds configuration_notice{2'000};
  /// Maximum time until all daemons refuse a revoked key.
  std::chrono::milliseconds revocation_notice{5'000};
  /// Maximum time until no daemon sends new requests to a data centre that is
  /// being evacuated; 0: evacuations are not followed.
  std::chrono::milliseconds evacuation_notice{0};
  std::chrono::milliseconds stop_limit{60'000};  ///< Limit of a graceful stop.
  double retry_ratio = 0.1;                      ///< Retries per first attempt.
  std::chrono::seconds claim_retention{86'400};
  std::uint64_t seed = 1;  ///< For jitter and tie-breaking.
  /// For baseline measurements: policy that selects a group, one of `weighted`,
  /// `round_robin` and `least_in_flight`.
  std::string route_policy = "weighted";
  /// For baseline measurements: whether admission control queues and refuses
  /// requests under load.
  bool admission = true;
};

struct SettingsResult {
  Settings settings;
  std::vector<Finding> findings;
};

/// Parses the INI settings of a daemon. Unknown keys and invalid values are
/// findings.
SettingsResult ParseSettings(const SourceFile& file);

}  // namespace clementine

#endif  // CONFIG_CONFIG_H_
