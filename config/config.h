// Declarative files and settings of clementinelb.
//
// Operators describe models, adapters, serving groups, organisations and
// routes in INI files. A file is parsed as a whole: either the result is a
// Configuration, or every finding is reported with its file and line and
// nothing is accepted. An accepted configuration is split into sections, each
// named and stored by the digest of its content, so that a change moves only
// the sections that differ.
//
//   ParseResult result = ParseConfiguration({{"site.ini", text}});
//   if (!result.findings.empty()) Report(result.findings);
//
// Daemon settings use the same findings: see ParseSettings.
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

/// Largest value that the platform's object API holds, in bytes.
inline constexpr std::size_t kMaxObjectBytes = 1'000'000;

/// @return The value of a JSON text.
/// @throws nlohmann::json::exception when the text isn't JSON, has a number
/// that
///     no double holds, or nests too deeply.
nlohmann::json ParseJson(std::string_view text);

/// Whether a text nests more than 64 levels, which no document here does.
/// Writing JSON recurses once for each level.
bool NestsTooDeeply(std::string_view text);

/// Parses a text that holds entries of several writers, so that one odd entry
/// doesn't hide the others: a value that nests too deeply, or a number that is
/// too large, reads as null; a byte that can't stand in a string reads as "?".
/// @throws nlohmann::json::exception when the text as a whole isn't JSON.
nlohmann::json ParseForeignJson(std::string_view text);

/// @return The value of a JSON text, or a discarded value when it isn't JSON.
nlohmann::json TryParseJson(std::string_view text);

/// @param indent Spaces a level; negative: on one line.
/// @throws nlohmann::json::type_error when a string isn't UTF-8.
std::string JsonText(const nlohmann::json& value, int indent = -1);

/// A fault in a file, with its place.
struct Finding {
  std::string file;
  int line = 0;  ///< First line is 1; 0 when the whole file is meant.
  std::string message;
};

/// Formats a finding as "file:line: message".
std::string FormatFinding(const Finding& finding);

/// What a request needs most; decides its priority and its limits.
enum class RequestClass {
  kCounter,  ///< Short first-token time; the caller is waiting at the counter.
  kStream,   ///< Steady token rate.
  kBatch,    ///< Throughput; finished before its deadline, may be preempted.
  kPlain,    ///< Call to a plain service.
};

/// Returns "counter", "stream", "batch" or "plain".
const char* RequestClassName(RequestClass request_class);

struct ModelSpec {
  std::string name;
  std::string version;
  std::string weights;        ///< Name in the weight store.
  int hosts_per_replica = 1;  ///< Hosts that together hold one replica.
  std::vector<std::string> adapters;
  std::chrono::seconds load_time{60};  ///< Expected time to load a replica.
  int max_running = 8;  ///< Requests that a replica runs at a time.
};

struct GroupSpec {
  std::string name;  ///< Replicas are named "<name>/<index>".
  std::string model;
  std::string data_centre;
  int replicas = 1;
};

struct OrganisationSpec {
  std::string name;
  double weight = 1.0;     ///< Share relative to other organisations.
  int max_in_flight = 64;  ///< Limit over all entry hosts of a data centre.
  int max_queued = 256;
};

struct RouteSpec {
  std::string path;  ///< HTTP path prefix.
  RequestClass request_class = RequestClass::kCounter;
  std::string model;          ///< Set for model routes.
  std::string service;        ///< Set for plain services.
  bool idempotent = true;     ///< A non-idempotent route runs at most once.
  bool key_required = false;  ///< Reject calls without a caller's key.
  std::chrono::milliseconds timeout{30'000};
};

struct ServiceSpec {
  std::string name;
  std::vector<std::string> hosts;  ///< Hosts of kind "plain" that run it.
};

/// How placement weighs its two measures.
struct PlacementSpec {
  double downtime_weight = 1.0;   ///< Cost of a group-second of downtime.
  double stranded_weight = 0.25;  ///< Cost of a stranded accelerator-second.
};

/// Everything that operators declare. Maps are keyed by name.
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

/// Parses and checks declarative files as one configuration.
/// @param files All files; later files may not redefine a section of earlier.
/// @return The configuration, or all findings of all files in file order.
ParseResult ParseConfiguration(const std::vector<SourceFile>& files);

/// A named part of a configuration, stored by the digest of its text.
struct ConfigSection {
  std::string name;    ///< Such as "model chat" or "route /v1/orders".
  std::string digest;  ///< 32 hexadecimal digits of the text's XXH3-128.
  std::string text;    ///< Canonical INI text of the section.
};

/// Apply ids that a head remembers.
inline constexpr std::size_t kMaxEarlierApplies = 16;

/// What one accepted configuration consists of. Stored as `config/head`.
struct ConfigHead {
  std::uint64_t generation = 0;  ///< Rises by one with each accepted apply.
  std::string apply_id;  ///< Unique for each apply; settles lost answers.
  std::string author;
  std::map<std::string, std::string> sections;  ///< Name to digest.
  /// Apply ids of the generations before, newest first. Tells an operator whose
  /// answer was lost whether a generation that was superseded was theirs.
  std::vector<std::string> earlier_applies{};
};

/// Splits a configuration into sections in canonical form.
std::vector<ConfigSection> SplitSections(const Configuration& configuration);

/// Joins section texts and parses them as one configuration.
ParseResult JoinSections(const std::vector<ConfigSection>& sections);

/// Digest of a text: 32 hexadecimal digits of XXH3-128.
std::string TextDigest(const std::string& text);

/// Digest over all names and digests of a head; equal heads have equal digests.
std::string HeadDigest(const ConfigHead& head);

std::string EncodeHead(const ConfigHead& head);  ///< JSON.

/// @throws std::runtime_error when the text isn't a valid head.
ConfigHead DecodeHead(const std::string& json);

/// A difference between two heads, one entry for each section that differs.
struct SectionChange {
  enum class Kind { kAdded, kRemoved, kChanged };
  Kind kind = Kind::kChanged;
  std::string name;
};
std::vector<SectionChange> DiffHeads(const ConfigHead& from,
                                     const ConfigHead& to);

/// Settings of a daemon.
struct Settings {
  std::string node;  ///< Unique name; defaults to listen address.
  std::string region;
  std::string data_centre;
  /// Relay: what this host can do in relation to the others, such as its cores.
  double capacity = 1.0;
  /// What callers and the platform speak: `chat`, or `relay` for requests that
  /// are passed on as they are to backend servers of the platform's registry.
  std::string interface = "chat";
  /// Relay: the whole system starts for the first time.
  bool first_start = false;
  std::string listen = "127.0.0.1:0";  ///< HTTP for callers.
  std::string health;  ///< Relay: address of /readyz and /metrics.
  std::string peer_listen = "127.0.0.1:0";  ///< nng for other daemons.
  std::vector<std::string> peer_seeds;      ///< Peer addresses to join through.
  std::string platform;                     ///< Address of the platform's API.
  std::string platform_token;
  std::string peer_key;  ///< Shared key for peer messages.
  /// Relay: another key that peers may still use while keys are replaced.
  std::string peer_previous_key;
  std::string backend_token;  ///< Sent to backend servers.
  std::map<std::string, std::string> organisation_tokens;  ///< Token by name.
  std::string idempotency_header = "Idempotency-Key";
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 1'048'576;
  std::size_t max_connections = 4096;
  std::size_t max_queued = 4096;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds body_timeout{30'000};
  std::chrono::milliseconds probe_interval{1'000};
  std::chrono::milliseconds presence_timeout{3'000};
  std::chrono::milliseconds lease_duration{10'000};
  std::chrono::milliseconds longest_order{5'000};
  std::chrono::milliseconds first_token_timeout{10'000};
  std::chrono::milliseconds token_gap_timeout{2'000};
  std::chrono::milliseconds connect_timeout{500};
  std::chrono::milliseconds drain_wait{5'000};  ///< Unready before refusing.
  /// Where other daemons read changes of the platform's objects; empty:
  /// nowhere.
  std::string listen_changes;
  /// A backend server that is leaving gets no new work after so long.
  std::chrono::milliseconds leaving_notice{2'000};
  /// A new configuration is in force after this time.
  std::chrono::milliseconds configuration_notice{2'000};
  /// A key that was taken away is refused after this time.
  std::chrono::milliseconds revocation_notice{5'000};
  std::chrono::milliseconds stop_limit{60'000};  ///< Longest graceful stop.
  double retry_ratio = 0.1;  ///< Retries for each first attempt.
  std::chrono::seconds claim_retention{86'400};
  std::uint64_t seed = 1;  ///< Seed for jitter and tie-breaking.
  /// Baselines for measurements: how groups are chosen, one of
  /// `weighted`, `round_robin` and `least_in_flight`; and whether requests are
  /// queued and refused by load at all.
  std::string route_policy = "weighted";
  bool admission = true;
};

struct SettingsResult {
  Settings settings;
  std::vector<Finding> findings;
};

/// Parses a daemon's INI settings; unknown keys and bad values are findings.
SettingsResult ParseSettings(const SourceFile& file);

}  // namespace clementine

#endif  // CONFIG_CONFIG_H_
