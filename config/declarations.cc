// Declarative files. All files are read first; references are checked over the
// whole set afterwards, so that files may name what another file declares.
// Sections are canonical: every key in the table's order, so that spelling,
// order and comments of the operator's files don't change a digest.

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

/// All files of one configuration together, in bytes.
constexpr std::size_t kMaxInputBytes = 64'000'000;
/// Bytes of a head for each section besides its name: digest and punctuation.
constexpr std::size_t kHeadEntryBytes = 40;
/// Bytes of a head besides its sections: generation, apply ids, author.
constexpr std::size_t kHeadBaseBytes = 2'000;

/// A wrong reference gets a suggestion among at most this many names. Bounds
/// the time for a file with many of both.
constexpr std::size_t kMaxSuggested = 200;

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
  return {ClassField("request_class", &spec->request_class),
          NameField("model", NameKind::kPath, &spec->model),
          NameField("service", NameKind::kPlain, &spec->service),
          FlagField("idempotent", &spec->idempotent),
          FlagField("key_required", &spec->key_required),
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

struct Place {
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

  ParseResult Run() {
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < m_files.size(); ++i) {
      bytes += m_files[i].text.size();
      if (bytes > kMaxInputBytes) {
        m_findings[i].Add(
            0, fmt::format("files have more than {} bytes", kMaxInputBytes));
        break;
      }
      m_file = i;
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
      std::vector<Finding> findings = list.Take();
      std::move(findings.begin(), findings.end(),
                std::back_inserter(m_result.findings));
    }
    return std::move(m_result);
  }

 private:
  void Report(Place place, std::string message) {
    m_findings[place.file].Add(place.line, std::move(message));
  }

  // "model chat" has kind "model" and name "chat".
  void ReadSection(const IniSection& section) {
    Place place{m_file, section.line};
    std::size_t space = section.name.find_first_of(" \t");
    std::string kind = section.name.substr(0, space);
    std::string name;
    if (space != std::string::npos) {
      name = section.name.substr(section.name.find_first_not_of(" \t", space));
    }
    const auto& kinds = SectionKinds();
    if (std::find(kinds.begin(), kinds.end(), kind) == kinds.end()) {
      Report(place, fmt::format("unknown section {}{}", Quote(section.name),
                                Suggestion(kind, kinds)));
      return;
    }
    std::string problem = CheckSectionName(kind, name);
    if (!problem.empty()) {
      Report(place, fmt::format("[{}]: {}", kind, problem));
      return;
    }
    std::string full = name.empty() ? kind : kind + " " + name;
    auto [earlier, added] = m_places.emplace(full, place);
    if (!added) {
      Report(place, fmt::format("[{}] is already defined at {}:{}", full,
                                m_files[earlier->second.file].name,
                                earlier->second.line));
      return;
    }
    for (const IniKey& key : section.keys) {
      m_key_lines.emplace(std::make_pair(full, key.name), key.line);
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
    Configuration& all = m_result.configuration;
    FindingList* findings = &m_findings[m_file];
    if (kind == "model") {
      all.models[name].name = name;
      ReadFields(section, ModelFields(&all.models[name]), findings);
    } else if (kind == "group") {
      all.groups[name].name = name;
      ReadFields(section, GroupFields(&all.groups[name]), findings);
    } else if (kind == "organisation") {
      all.organisations[name].name = name;
      ReadFields(section, OrganisationFields(&all.organisations[name]),
                 findings);
    } else if (kind == "route") {
      RouteSpec& route = all.routes[name];
      route.path = name;
      ReadFields(section, RouteFields(&route), findings);
      bool has_class = m_key_lines.count({"route " + name, "request_class"});
      if (!route.service.empty() && !has_class) {
        route.request_class = RequestClass::kPlain;
      }
    } else if (kind == "service") {
      all.services[name].name = name;
      ReadFields(section, ServiceFields(&all.services[name]), findings);
    } else {
      ReadFields(section, PlacementFields(&all.placement), findings);
    }
  }

  // Line of a key, or of its section when the key is missing.
  Place KeyPlace(const std::string& section, const std::string& key) const {
    Place place = m_places.at(section);
    auto found = m_key_lines.find({section, key});
    if (found != m_key_lines.end()) place.line = found->second;
    return place;
  }

  template <typename Spec>
  void CheckReference(const std::string& section, const std::string& kind,
                      const std::string& name,
                      const std::map<std::string, Spec>& declared) {
    // A missing or bad value has its own finding.
    if (name.empty() || declared.count(name) != 0) return;
    std::vector<std::string> names;
    if (declared.size() <= kMaxSuggested) {
      names.reserve(declared.size());
      for (const auto& [known, spec] : declared) names.push_back(known);
    }
    Report(KeyPlace(section, kind),
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
      Report(
          KeyPlace(section, "service"),
          fmt::format("[{}] must name either a model or a service", section));
      return;
    }
    CheckReference(section, "model", route.model,
                   m_result.configuration.models);
    CheckReference(section, "service", route.service,
                   m_result.configuration.services);
    bool plain = route.request_class == RequestClass::kPlain;
    if (names_service && !plain) {
      Report(KeyPlace(section, "request_class"),
             "a route to a service has request_class plain");
    } else if (names_model && plain) {
      Report(KeyPlace(section, "request_class"),
             "a route to a model has request_class counter, stream or batch");
    }
  }

  void CheckSizes() {
    std::size_t head_bytes = kHeadBaseBytes;
    for (const ConfigSection& section : SplitSections(m_result.configuration)) {
      head_bytes += section.name.size() + kHeadEntryBytes;
      auto place = m_places.find(section.name);
      if (section.text.size() <= kMaxObjectBytes || place == m_places.end()) {
        continue;
      }
      Report(place->second,
             fmt::format("[{}] has {} bytes, the limit is {}", section.name,
                         section.text.size(), kMaxObjectBytes));
    }
    if (head_bytes > kMaxObjectBytes) {
      Report({m_files.size() - 1, 0},
             fmt::format("the files declare too many sections: their list has "
                         "{} bytes, the limit is {}",
                         head_bytes, kMaxObjectBytes));
    }
  }

  const std::vector<SourceFile>& m_files;
  std::vector<FindingList> m_findings;  // One for each file.
  std::size_t m_file = 0;               // Index of the file being read.
  ParseResult m_result;
  std::map<std::string, Place> m_places;  // By full name of the section.
  // Line of each (section, key).
  std::map<std::pair<std::string, std::string>, int> m_key_lines;
};

// Adds the sections of one kind; `fields` binds to a copy of each spec.
template <typename Spec>
void AddSections(const std::string& kind,
                 const std::map<std::string, Spec>& specs,
                 std::vector<Field> (*fields)(Spec*),
                 std::vector<ConfigSection>* sections) {
  for (const auto& [name, spec] : specs) {
    Spec copy = spec;
    std::string full = fmt::format("{} {}", kind, name);
    std::string text = WriteFields(full, fields(&copy));
    sections->push_back({full, TextDigest(text), std::move(text)});
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
  return Parser(files).Run();
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
      damaged.push_back({section.name, 0, "text doesn't match its digest"});
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
