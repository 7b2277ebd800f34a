// Parses and validates declarative files. References are checked after all
// files have been read because a file may refer to declarations of another. The
// text of a section is canonical: it lists every key in the table's order.
// Formatting, order and comments of the operators' files therefore do not
// affect digests.

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "config/config.h"
#include "config/fields.h"
#include "config/ini_file.h"
#include "fmt/format.h"

namespace clementine {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Maximum total size of the files of a configuration.
constexpr std::size_t kMaxTotalFileBytes = 64'000'000;
/// Size of a section's entry in a head without its name: digest and
/// punctuation.
constexpr std::size_t kHeadEntryBytes = 40;
/// Size of a head without its sections: generation, apply ids and author.
constexpr std::size_t kHeadBaseBytes = 2'000;

/// No name is suggested for an invalid reference if there are more candidates.
/// Bounds the time for files with many declarations and many invalid
/// references.
constexpr std::size_t kMaxSuggestionCandidates = 200;

constexpr char kPlacement[] = "placement";

std::vector<Field> ModelFields(ModelSpec* spec) {
  return {Required(NameField("version", NameKind::kPath, &spec->version)),
          Required(NameField("weights", NameKind::kPath, &spec->weights)),
          IntField("hosts_per_replica", 1, 1'024, &spec->hosts_per_replica),
          NameListField("adapters", NameKind::kPath, &spec->adapters),
          DurationField("load_time", seconds(1), hours(24), &spec->load_time),
          IntField("max_running", 1, 100'000, &spec->max_running)};
}

std::vector<Field> GroupFields(GroupSpec* spec) {
  return {
      Required(NameField("model", NameKind::kPath, &spec->model)),
      Required(NameField("data_centre", NameKind::kPlain, &spec->data_centre)),
      IntField("replicas", 1, 10'000, &spec->replicas)};
}

std::vector<Field> OrganisationFields(OrganisationSpec* spec) {
  return {NumberField("weight", 0.001, 1'000'000.0, &spec->weight),
          IntField("max_in_flight", 1, 1'000'000, &spec->max_in_flight),
          IntField("max_queued", 0, 1'000'000, &spec->max_queued)};
}

std::vector<Field> RouteFields(RouteSpec* spec) {
  return {RequestClassField("request_class", &spec->request_class),
          NameField("model", NameKind::kPath, &spec->model),
          NameField("service", NameKind::kPlain, &spec->service),
          BoolField("idempotent", &spec->idempotent),
          BoolField("key_required", &spec->key_required),
          DurationField("timeout", milliseconds(1), hours(24), &spec->timeout)};
}

std::vector<Field> ServiceFields(ServiceSpec* spec) {
  return {Required(NameListField("hosts", NameKind::kPlain, &spec->hosts))};
}

std::vector<Field> PlacementFields(PlacementSpec* spec) {
  return {
      NumberField("downtime_weight", 0.0, 1'000'000.0, &spec->downtime_weight),
      NumberField("stranded_weight", 0.0, 1'000'000.0, &spec->stranded_weight)};
}

std::string CheckRoutePath(const std::string& path) {
  if (path.empty() || path[0] != '/') {
    return fmt::format("path {} does not start with '/'", Quote(path));
  }
  return CheckName(path, NameKind::kPath);
}

struct SourceLocation {
  std::size_t file = 0;
  int line = 0;
};

const std::vector<std::string>& SectionKinds() {
  static const std::vector<std::string> kinds = {
      "model", "group", "organisation", "route", "service", kPlacement};
  return kinds;
}

class Parser {
 public:
  explicit Parser(const std::vector<SourceFile>& files) : m_files(files) {
    for (const SourceFile& file : files) m_findings.emplace_back(file.name);
  }

  ParseResult Parse() {
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < m_files.size(); ++i) {
      bytes += m_files[i].text.size();
      if (bytes > kMaxTotalFileBytes) {
        m_findings[i].Add(
            0, fmt::format("the files together have more than {} bytes",
                           kMaxTotalFileBytes));
        break;
      }
      m_file_index = i;
      for (const IniSection& section : ReadIni(m_files[i], &m_findings[i])) {
        if (!section.name.empty()) ReadSection(section);
      }
    }
    for (const auto& [name, group] : m_result.configuration.groups) {
      CheckGroup(group);
    }
    for (const auto& [path, route] : m_result.configuration.routes) {
      CheckRoute(route);
    }
    CheckSizes();
    for (FindingList& list : m_findings) {
      std::vector<Finding> findings = list.TakeFindings();
      std::move(findings.begin(), findings.end(),
                std::back_inserter(m_result.findings));
    }
    return std::move(m_result);
  }

 private:
  void AddFinding(SourceLocation location, std::string message) {
    m_findings[location.file].Add(location.line, std::move(message));
  }

  // Section [model chat] has kind "model" and name "chat".
  void ReadSection(const IniSection& section) {
    SourceLocation location{m_file_index, section.line};
    std::size_t space = section.name.find_first_of(" \t");
    std::string kind = section.name.substr(0, space);
    std::string name;
    if (space != std::string::npos) {
      name = section.name.substr(section.name.find_first_not_of(" \t", space));
    }
    const auto& kinds = SectionKinds();
    if (std::find(kinds.begin(), kinds.end(), kind) == kinds.end()) {
      AddFinding(location,
                 fmt::format("unknown section {}{}", Quote(section.name),
                             Suggestion(kind, kinds)));
      return;
    }
    std::string problem = CheckSectionName(kind, name);
    if (!problem.empty()) {
      AddFinding(location, fmt::format("[{}]: {}", kind, problem));
      return;
    }
    std::string full_name = name.empty() ? kind : kind + " " + name;
    auto [earlier, added] = m_section_locations.emplace(full_name, location);
    if (!added) {
      AddFinding(location,
                 fmt::format("[{}] is already defined at {}:{}", full_name,
                             m_files[earlier->second.file].name,
                             earlier->second.line));
      return;
    }
    for (const IniKey& key : section.keys) {
      m_key_lines.emplace(std::make_pair(full_name, key.name), key.line);
    }
    ReadSpec(kind, name, section);
  }

  static std::string CheckSectionName(const std::string& kind,
                                      const std::string& name) {
    if (kind == kPlacement) return name.empty() ? "" : "takes no name";
    if (name.empty()) return "lacks a name";
    if (kind == "route") return CheckRoutePath(name);
    return CheckName(name,
                     kind == "model" ? NameKind::kPath : NameKind::kPlain);
  }

  void ReadSpec(const std::string& kind, const std::string& name,
                const IniSection& section) {
    Configuration& declarations = m_result.configuration;
    FindingList* findings = &m_findings[m_file_index];
    if (kind == "model") {
      declarations.models[name].name = name;
      ReadFields(section, ModelFields(&declarations.models[name]), findings);
    } else if (kind == "group") {
      declarations.groups[name].name = name;
      ReadFields(section, GroupFields(&declarations.groups[name]), findings);
    } else if (kind == "organisation") {
      declarations.organisations[name].name = name;
      ReadFields(section, OrganisationFields(&declarations.organisations[name]),
                 findings);
    } else if (kind == "route") {
      RouteSpec& route = declarations.routes[name];
      route.path = name;
      ReadFields(section, RouteFields(&route), findings);
      bool has_class = m_key_lines.count({"route " + name, "request_class"});
      if (!route.service.empty() && !has_class) {
        route.request_class = RequestClass::kPlain;
      }
    } else if (kind == "service") {
      declarations.services[name].name = name;
      ReadFields(section, ServiceFields(&declarations.services[name]),
                 findings);
    } else {
      ReadFields(section, PlacementFields(&declarations.placement), findings);
    }
  }

  // Location of a key, or of its section if the key is missing.
  SourceLocation KeyLocation(const std::string& section,
                             const std::string& key) const {
    SourceLocation location = m_section_locations.at(section);
    auto found = m_key_lines.find({section, key});
    if (found != m_key_lines.end()) location.line = found->second;
    return location;
  }

  template <typename Spec>
  void CheckReference(const std::string& section, const std::string& kind,
                      const std::string& name,
                      const std::map<std::string, Spec>& declared) {
    // A missing or invalid value was reported when it was read.
    if (name.empty() || declared.count(name) != 0) return;
    std::vector<std::string> names;
    if (declared.size() <= kMaxSuggestionCandidates) {
      names.reserve(declared.size());
      for (const auto& [known, spec] : declared) names.push_back(known);
    }
    AddFinding(KeyLocation(section, kind),
               fmt::format("{} {} is not declared{}", kind, Quote(name),
                           Suggestion(name, names)));
  }

  void CheckGroup(const GroupSpec& group) {
    CheckReference("group " + group.name, "model", group.model,
                   m_result.configuration.models);
  }

  void CheckRoute(const RouteSpec& route) {
    std::string section = "route " + route.path;
    bool names_model = m_key_lines.count({section, "model"}) != 0;
    bool names_service = m_key_lines.count({section, "service"}) != 0;
    if (names_model == names_service) {
      AddFinding(
          KeyLocation(section, "service"),
          fmt::format("[{}] must name either a model or a service", section));
      return;
    }
    CheckReference(section, "model", route.model,
                   m_result.configuration.models);
    CheckReference(section, "service", route.service,
                   m_result.configuration.services);
    bool plain = route.request_class == RequestClass::kPlain;
    if (names_service && !plain) {
      AddFinding(KeyLocation(section, "request_class"),
                 "a route to a service must have request_class plain");
    } else if (names_model && plain) {
      AddFinding(
          KeyLocation(section, "request_class"),
          "a route to a model must have request_class counter, stream or "
          "batch");
    }
  }

  void CheckSizes() {
    std::size_t head_bytes = kHeadBaseBytes;
    for (const ConfigSection& section : SplitSections(m_result.configuration)) {
      head_bytes += section.name.size() + kHeadEntryBytes;
      auto location = m_section_locations.find(section.name);
      if (section.text.size() <= kMaxObjectBytes ||
          location == m_section_locations.end()) {
        continue;
      }
      AddFinding(location->second,
                 fmt::format("[{}] has {} bytes, the limit is {}", section.name,
                             section.text.size(), kMaxObjectBytes));
    }
    if (head_bytes > kMaxObjectBytes) {
      AddFinding(
          {m_files.size() - 1, 0},
          fmt::format("the files declare too many sections: the head has "
                      "{} bytes, the limit is {}",
                      head_bytes, kMaxObjectBytes));
    }
  }

  const std::vector<SourceFile>& m_files;
  std::vector<FindingList> m_findings;  // One list per file.
  std::size_t m_file_index = 0;         // Index of the file being read.
  ParseResult m_result;
  // By full section name.
  std::map<std::string, SourceLocation> m_section_locations;
  // Line of each (full section name, key).
  std::map<std::pair<std::string, std::string>, int> m_key_lines;
};

// Adds the sections of one kind. `fields` returns the table of a spec. The
// table refers to a copy because it needs a mutable spec.
template <typename Spec>
void AddSections(const std::string& kind,
                 const std::map<std::string, Spec>& specs,
                 std::vector<Field> (*fields)(Spec*),
                 std::vector<ConfigSection>* sections) {
  for (const auto& [name, spec] : specs) {
    Spec copy = spec;
    std::string full_name = fmt::format("{} {}", kind, name);
    std::string text = WriteFields(full_name, fields(&copy));
    sections->push_back({full_name, TextDigest(text), std::move(text)});
  }
}

}  // namespace

std::string FormatFinding(const Finding& finding) {
  if (finding.line == 0) {
    return fmt::format("{}: {}", finding.file, finding.message);
  }
  return fmt::format("{}:{}: {}", finding.file, finding.line, finding.message);
}

const char* RequestClassName(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kCounter:
      return "counter";
    case RequestClass::kStream:
      return "stream";
    case RequestClass::kBatch:
      return "batch";
    case RequestClass::kPlain:
      return "plain";
  }
  return "";
}

ParseResult ParseConfiguration(const std::vector<SourceFile>& files) {
  return Parser(files).Parse();
}

std::vector<ConfigSection> SplitSections(const Configuration& configuration) {
  std::vector<ConfigSection> sections;
  AddSections("model", configuration.models, ModelFields, &sections);
  AddSections("group", configuration.groups, GroupFields, &sections);
  AddSections("organisation", configuration.organisations, OrganisationFields,
              &sections);
  AddSections("route", configuration.routes, RouteFields, &sections);
  AddSections("service", configuration.services, ServiceFields, &sections);
  PlacementSpec placement = configuration.placement;
  std::string text = WriteFields(kPlacement, PlacementFields(&placement));
  sections.push_back({kPlacement, TextDigest(text), text});
  return sections;
}

ParseResult JoinSections(const std::vector<ConfigSection>& sections) {
  std::vector<SourceFile> files;
  std::vector<Finding> damaged;
  for (const ConfigSection& section : sections) {
    files.push_back({section.name, section.text});
    if (!section.digest.empty() && section.digest != TextDigest(section.text)) {
      damaged.push_back(
          {section.name, 0, "text of the section does not match its digest"});
    }
  }
  ParseResult result = ParseConfiguration(files);
  result.findings.insert(result.findings.begin(), damaged.begin(),
                         damaged.end());
  return result;
}

std::vector<KnownKey> KnownDeclarationKeys() {
  ModelSpec model;
  GroupSpec group;
  OrganisationSpec organisation;
  RouteSpec route;
  ServiceSpec service;
  PlacementSpec placement;
  const std::pair<const char*, std::vector<Field>> tables[] = {
      {"model", ModelFields(&model)},
      {"group", GroupFields(&group)},
      {"organisation", OrganisationFields(&organisation)},
      {"route", RouteFields(&route)},
      {"service", ServiceFields(&service)},
      {kPlacement, PlacementFields(&placement)}};
  std::vector<KnownKey> keys;
  for (const auto& [section, fields] : tables) {
    for (const Field& field : fields) {
      keys.push_back({section, field.key, field.write(), field.required});
    }
  }
  return keys;
}

}  // namespace clementine
