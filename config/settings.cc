// Settings of a daemon: a table of sections and fields, and checks that involve
// several keys.

#include <functional>
#include <map>
#include <set>

#include "config/config.h"
#include "config/fields.h"
#include "config/ini_file.h"
#include "fmt/format.h"

namespace clementine {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kMaxCount = 1'000'000;
constexpr std::size_t kMaxBytes = 1'000'000'000;
constexpr std::size_t kMaxMemory = 1'000'000'000'000;
constexpr double kMinCapacity = 0.001;
constexpr double kMaxCapacity = 1'000'000.0;
constexpr char kTokenSection[] = "organisation_tokens";

// Returns the fields of each section, bound to `settings`.
std::map<std::string, std::vector<Field>> SettingsTable(Settings* settings) {
  Settings& s = *settings;
  auto duration = [](const char* key, milliseconds* target) {
    return DurationField(key, milliseconds(1), hours(1), target);
  };
  std::map<std::string, std::vector<Field>> table;
  table["node"] = {
      NameField("name", NameKind::kPath, &s.node),
      NameField("region", NameKind::kPlain, &s.region),
      Required(NameField("data_centre", NameKind::kPlain, &s.data_centre)),
      NumberField("capacity", kMinCapacity, kMaxCapacity, &s.capacity),
      SeedField("seed", &s.seed),
      NameField("interface", NameKind::kPlain, &s.interface),
      BoolField("first_start", &s.first_start)};
  table["listen"] = {
      AddressField("address", true, &s.listen),
      AddressField("health", true, &s.health),
      AddressField("changes", true, &s.listen_changes),
      NameField("idempotency_header", NameKind::kPlain, &s.idempotency_header)};
  table["platform"] = {Required(AddressField("address", false, &s.platform)),
                       SecretField("token", &s.platform_token)};
  table["peers"] = {AddressField("listen", true, &s.peer_listen),
                    AddressListField("seeds", &s.peer_seeds),
                    Required(SecretField("key", &s.peer_key)),
                    SecretField("previous_key", &s.peer_previous_key)};
  table["backend"] = {SecretField("token", &s.backend_token)};
  table["limits"] = {
      SizeField("max_header_bytes", 1'024, kMaxCount, &s.max_header_bytes),
      SizeField("max_body_bytes", 1'024, kMaxBytes, &s.max_body_bytes),
      SizeField("max_connections", 1, kMaxCount, &s.max_connections),
      SizeField("max_queued", 1, kMaxCount, &s.max_queued),
      NumberField("retry_ratio", 0.0, 1.0, &s.retry_ratio),
      SizeField("memory", 0, kMaxMemory, &s.memory),
      SizeField("max_descriptors", 0, kMaxCount, &s.max_descriptors),
      NumberField("cold_overshoot", 1.0, 100.0, &s.cold_overshoot),
      NumberField("cold_tolerance", 0.0, 1e6, &s.cold_tolerance),
      NumberField("hedge_ratio", 0.0, 1.0, &s.hedge_ratio)};
  table["experiment"] = {
      NameField("route_policy", NameKind::kPlain, &s.route_policy),
      BoolField("admission", &s.admission)};
  table["timeouts"] = {
      duration("header_timeout", &s.header_timeout),
      duration("body_timeout", &s.body_timeout),
      duration("probe_interval", &s.probe_interval),
      duration("presence_timeout", &s.presence_timeout),
      duration("lease_duration", &s.lease_duration),
      duration("longest_order", &s.longest_order),
      duration("first_token_timeout", &s.first_token_timeout),
      duration("token_gap_timeout", &s.token_gap_timeout),
      duration("connect_timeout", &s.connect_timeout),
      DurationField("drain_wait", milliseconds(0), hours(1), &s.drain_wait),
      duration("leaving_notice", &s.leaving_notice),
      duration("configuration_notice", &s.configuration_notice),
      duration("revocation_notice", &s.revocation_notice),
      DurationField("evacuation_notice", milliseconds(0), hours(1),
                    &s.evacuation_notice),
      duration("stop_limit", &s.stop_limit),
      DurationField("claim_retention", seconds(1), hours(24 * 365),
                    &s.claim_retention)};
  return table;
}

// Reads the tokens of organisations. Messages never contain a token.
void ReadTokens(const IniSection& section, FindingList* findings,
                std::map<std::string, std::string>* tokens) {
  std::map<std::string, std::string> owners;
  for (const IniKey& key : section.keys) {
    std::string problem = CheckName(key.name, NameKind::kPlain);
    if (problem.empty() && key.value.empty()) {
      problem = fmt::format("token of {} is empty", Quote(key.name));
    }
    if (problem.empty() && tokens->count(key.name) != 0) {
      problem =
          fmt::format("key {} is repeated in the section", Quote(key.name));
    }
    if (problem.empty() && owners.count(key.value) != 0) {
      problem = fmt::format("{} has the same token as {}", Quote(key.name),
                            Quote(owners[key.value]));
    }
    if (!problem.empty()) {
      findings->Add(key.line, problem);
      continue;
    }
    owners[key.value] = key.name;
    (*tokens)[key.name] = key.value;
  }
}

bool IsRoutePolicy(const std::string& name) {
  return name == "weighted" || name == "round_robin" ||
         name == "least_in_flight";
}

// Checks settings against each other and against lists of allowed values.
// `lines` holds the line of each section.
void CheckValues(const Settings& settings,
                 const std::map<std::string, int>& lines,
                 FindingList* findings) {
  auto found = lines.find("timeouts");
  int line = found == lines.end() ? 0 : found->second;
  if (settings.presence_timeout <= settings.probe_interval) {
    findings->Add(line, "presence_timeout must be longer than probe_interval");
  }
  if (settings.lease_duration <= settings.longest_order) {
    findings->Add(line, "lease_duration must be longer than longest_order");
  }
  bool known = settings.interface == "chat" || settings.interface == "relay";
  if (!known) {
    auto node = lines.find("node");
    findings->Add(node == lines.end() ? 0 : node->second,
                  fmt::format("interface {} is not chat or relay",
                              Quote(settings.interface)));
  }
  if (!IsRoutePolicy(settings.route_policy)) {
    auto experiment = lines.find("experiment");
    findings->Add(experiment == lines.end() ? 0 : experiment->second,
                  fmt::format("route_policy {} is not weighted, round_robin or "
                              "least_in_flight",
                              Quote(settings.route_policy)));
  }
}

bool HasFixedPort(const std::string& address) {
  return address.size() < 2 || address.substr(address.size() - 2) != ":0";
}

}  // namespace

SettingsResult ParseSettings(const SourceFile& file) {
  SettingsResult result;
  FindingList findings(file.name);
  auto table = SettingsTable(&result.settings);
  std::vector<std::string> names = {kTokenSection};
  for (const auto& [name, fields] : table) names.push_back(name);
  std::map<std::string, int> lines;
  for (const IniSection& section : ReadIni(file, &findings)) {
    if (section.name.empty()) continue;
    auto fields = table.find(section.name);
    if (fields == table.end() && section.name != kTokenSection) {
      findings.Add(section.line,
                   fmt::format("unknown section {}{}", Quote(section.name),
                               Suggestion(section.name, names)));
    } else if (!lines.emplace(section.name, section.line).second) {
      findings.Add(section.line,
                   fmt::format("section [{}] is repeated", section.name));
    } else if (fields == table.end()) {
      ReadTokens(section, &findings, &result.settings.organisation_tokens);
    } else {
      ReadFields(section, fields->second, &findings);
    }
  }
  for (const auto& [name, fields] : table) {
    if (lines.count(name) != 0) continue;
    // With interface `relay`, daemons need no peers: they share state through
    // the platform.
    if (name == "peers" && result.settings.interface == "relay") continue;
    for (const Field& field : fields) {
      if (!field.required) continue;
      findings.Add(0, fmt::format("[{}] lacks key '{}'", name, field.key));
    }
  }
  CheckValues(result.settings, lines, &findings);
  if (result.settings.node.empty() && HasFixedPort(result.settings.listen)) {
    result.settings.node = result.settings.listen;
  }
  result.findings = findings.TakeFindings();
  return result;
}

std::vector<KnownKey> KnownSettingKeys() {
  Settings settings;
  std::vector<KnownKey> keys;
  for (const auto& [name, fields] : SettingsTable(&settings)) {
    for (const Field& field : fields) {
      keys.push_back({name, field.key, field.write(), field.required});
    }
  }
  return keys;
}

}  // namespace clementine
