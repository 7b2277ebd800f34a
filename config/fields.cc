// Factories of fields; each binds a key to a target variable. Numbers are
// parsed with from_chars because it is independent of the locale and accepts
// neither leading white space nor a plus sign.

#include "config/fields.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <set>
#include <system_error>

#include "fmt/format.h"

namespace clementine {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxNameBytes = 200;

struct DurationUnit {
  const char* name;
  std::int64_t milliseconds;
};
// Longest unit first: FormatDuration uses the first that divides the duration.
constexpr DurationUnit kUnits[] = {{"d", 86'400'000},
                                   {"h", 3'600'000},
                                   {"m", 60'000},
                                   {"s", 1'000},
                                   {"ms", 1}};

bool IsNameCharacter(char c, NameKind kind) {
  if ((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
      (c >= '0' && c <= '9')) {
    return true;
  }
  const std::string allowed = kind == NameKind::kPath ? "._-/:@+%~" : "._-";
  return allowed.find(c) != std::string::npos;
}

template <typename Number>
bool ParseNumber(const std::string& text, Number* number) {
  const char* end = text.data() + text.size();
  auto [rest, error] = std::from_chars(text.data(), end, *number);
  return error == std::errc() && rest == end;
}

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> items;
  if (text.empty()) return items;
  std::size_t start = 0;
  while (start <= text.size()) {
    std::size_t end = std::min(text.find(',', start), text.size());
    std::string item = text.substr(start, end - start);
    std::size_t first = item.find_first_not_of(" \t");
    std::size_t last = item.find_last_not_of(" \t");
    items.push_back(
        first == std::string::npos ? "" : item.substr(first, last - first + 1));
    start = end + 1;
  }
  return items;
}

std::string FormatDuration(milliseconds duration) {
  for (const DurationUnit& unit : kUnits) {
    if (duration.count() != 0 && duration.count() % unit.milliseconds == 0) {
      return fmt::format("{}{}", duration.count() / unit.milliseconds,
                         unit.name);
    }
  }
  return "0ms";
}

// Parses a duration. Returns an error message, or "" on success.
std::string ParseDuration(const std::string& text, milliseconds min,
                          milliseconds max, milliseconds* duration) {
  std::size_t digits = text.find_first_not_of("0123456789");
  std::string unit_name =
      digits == std::string::npos ? "" : text.substr(digits);
  std::int64_t count = 0;
  const auto* unit = std::find_if(std::begin(kUnits), std::end(kUnits),
                                  [&](const DurationUnit& candidate) {
                                    return unit_name == candidate.name;
                                  });
  if (unit == std::end(kUnits) ||
      !ParseNumber(text.substr(0, digits), &count)) {
    return fmt::format(
        "{} is not a duration; write a whole number and a unit, such as "
        "500ms, 3s, 5m, 24h or 7d",
        Quote(text));
  }
  if (count > max.count() / unit->milliseconds ||
      count * unit->milliseconds < min.count()) {
    return fmt::format("{} is outside of {} to {}", Quote(text),
                       FormatDuration(min), FormatDuration(max));
  }
  *duration = milliseconds(count * unit->milliseconds);
  return "";
}

template <typename Number>
Field RangeField(const char* key, const char* kind, Number min, Number max,
                 Number* target) {
  Field field;
  field.key = key;
  field.read = [=](const std::string& value) -> std::string {
    Number number{};
    if (!ParseNumber(value, &number) ||
        !std::isfinite(static_cast<double>(number))) {
      return fmt::format("{} is not a {}", Quote(value), kind);
    }
    if (number < min || number > max) {
      return fmt::format("{} is outside of {} to {}", Quote(value), min, max);
    }
    *target = number;
    return "";
  };
  field.write = [target] { return fmt::format("{}", *target); };
  return field;
}

// A list separated by commas. `check` returns an error message for an item, or
// "".
Field ListField(const char* key,
                const std::function<std::string(const std::string&)>& check,
                std::vector<std::string>* target) {
  Field field;
  field.key = key;
  field.read = [=](const std::string& value) -> std::string {
    std::vector<std::string> items = SplitList(value);
    std::set<std::string> seen;
    for (const std::string& item : items) {
      std::string problem = check(item);
      if (!problem.empty()) return problem;
      if (!seen.insert(item).second) {
        return fmt::format("{} is listed twice", Quote(item));
      }
    }
    *target = std::move(items);
    return "";
  };
  field.write = [target] {
    return fmt::format("{}", fmt::join(*target, ", "));
  };
  return field;
}

// A text. `check` returns an error message, or "".
Field CheckedField(const char* key,
                   const std::function<std::string(const std::string&)>& check,
                   std::string* target) {
  Field field;
  field.key = key;
  field.read = [=](const std::string& value) -> std::string {
    std::string problem = check(value);
    if (problem.empty()) *target = value;
    return problem;
  };
  field.write = [target] { return *target; };
  return field;
}

}  // namespace

std::string CheckName(const std::string& name, NameKind kind) {
  if (name.empty()) return "name is empty";
  if (name.size() > kMaxNameBytes) {
    return fmt::format("{} is longer than {} bytes", Quote(name),
                       kMaxNameBytes);
  }
  for (char c : name) {
    if (!IsNameCharacter(c, kind)) {
      return fmt::format(
          "{} contains a character other than letters, digits "
          "and {}",
          Quote(name), kind == NameKind::kPath ? "._-/:@+%~" : "._-");
    }
  }
  return "";
}

std::string CheckAddress(const std::string& address, bool allow_port_zero) {
  std::string problem = fmt::format(
      "{} is not an address of the form IP:port, such as 10.0.0.7:8080",
      Quote(address));
  std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return problem;
  std::string host = address.substr(0, colon);
  unsigned char bytes[sizeof(in6_addr)];
  bool valid = inet_pton(AF_INET, host.c_str(), bytes) == 1;
  if (!valid && host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
    valid = inet_pton(AF_INET6, host.c_str(), bytes) == 1;
  }
  std::uint16_t port = 0;
  if (!valid || !ParseNumber(address.substr(colon + 1), &port)) return problem;
  if (port == 0 && !allow_port_zero) {
    return fmt::format("port 0 in {} is not a port to connect to",
                       Quote(address));
  }
  return "";
}

Field NameField(const char* key, NameKind kind, std::string* target) {
  return CheckedField(
      key, [kind](const std::string& name) { return CheckName(name, kind); },
      target);
}

Field SecretField(const char* key, std::string* target) {
  return CheckedField(
      key,
      [](const std::string& value) -> std::string {
        return value.empty() ? "value is empty" : "";
      },
      target);
}

Field AddressField(const char* key, bool allow_port_zero, std::string* target) {
  return CheckedField(
      key,
      [=](const std::string& address) {
        return CheckAddress(address, allow_port_zero);
      },
      target);
}

Field AddressListField(const char* key, std::vector<std::string>* target) {
  return ListField(
      key,
      [](const std::string& address) { return CheckAddress(address, false); },
      target);
}

Field NameListField(const char* key, NameKind kind,
                    std::vector<std::string>* target) {
  return ListField(
      key, [kind](const std::string& name) { return CheckName(name, kind); },
      target);
}

Field IntField(const char* key, int min, int max, int* target) {
  return RangeField(key, "whole number", min, max, target);
}

Field SizeField(const char* key, std::size_t min, std::size_t max,
                std::size_t* target) {
  return RangeField(key, "whole number", min, max, target);
}

Field SeedField(const char* key, std::uint64_t* target) {
  return RangeField(key, "whole number", std::uint64_t{0},
                    std::numeric_limits<std::uint64_t>::max(), target);
}

Field NumberField(const char* key, double min, double max, double* target) {
  return RangeField(key, "number", min, max, target);
}

Field BoolField(const char* key, bool* target) {
  Field field;
  field.key = key;
  field.read = [target](const std::string& value) -> std::string {
    bool yes = value == "yes" || value == "true";
    if (!yes && value != "no" && value != "false") {
      return fmt::format("{} is neither 'yes' nor 'no'", Quote(value));
    }
    *target = yes;
    return "";
  };
  field.write = [target] { return *target ? "yes" : "no"; };
  return field;
}

Field DurationField(const char* key, milliseconds min, milliseconds max,
                    milliseconds* target) {
  Field field;
  field.key = key;
  field.read = [=](const std::string& value) {
    return ParseDuration(value, min, max, target);
  };
  field.write = [target] { return FormatDuration(*target); };
  return field;
}

Field DurationField(const char* key, seconds min, seconds max,
                    seconds* target) {
  Field field;
  field.key = key;
  field.read = [=](const std::string& value) -> std::string {
    milliseconds duration{0};
    std::string problem = ParseDuration(value, min, max, &duration);
    if (!problem.empty()) return problem;
    if (duration % seconds(1) != milliseconds(0)) {
      return fmt::format("{} is not in whole seconds", Quote(value));
    }
    *target = std::chrono::duration_cast<seconds>(duration);
    return "";
  };
  field.write = [target] { return FormatDuration(*target); };
  return field;
}

Field RequestClassField(const char* key, RequestClass* target) {
  Field field;
  field.key = key;
  field.read = [target](const std::string& value) -> std::string {
    std::vector<std::string> names;
    for (RequestClass request_class :
         {RequestClass::kCounter, RequestClass::kStream, RequestClass::kBatch,
          RequestClass::kPlain}) {
      names.emplace_back(RequestClassName(request_class));
      if (value != names.back()) continue;
      *target = request_class;
      return "";
    }
    return fmt::format(
        "unknown request class {}{}; use counter, stream, batch or plain",
        Quote(value), Suggestion(value, names));
  };
  field.write = [target] { return RequestClassName(*target); };
  return field;
}

Field Required(Field field) {
  field.required = true;
  return field;
}

void ReadFields(const IniSection& section, const std::vector<Field>& fields,
                FindingList* findings) {
  std::vector<std::string> known;
  known.reserve(fields.size());
  for (const Field& field : fields) known.push_back(field.key);
  std::set<std::string> seen;
  for (const IniKey& key : section.keys) {
    auto field = std::find_if(
        fields.begin(), fields.end(),
        [&](const Field& candidate) { return candidate.key == key.name; });
    if (field == fields.end()) {
      findings->Add(key.line, fmt::format("unknown key {}{}", Quote(key.name),
                                          Suggestion(key.name, known)));
      continue;
    }
    if (!seen.insert(key.name).second) {
      findings->Add(key.line, fmt::format("key {} is repeated in the section",
                                          Quote(key.name)));
      continue;
    }
    std::string problem = field->required && key.value.empty()
                              ? "value is empty"
                              : field->read(key.value);
    if (!problem.empty()) {
      findings->Add(key.line, fmt::format("{}: {}", key.name, problem));
    }
  }
  for (const Field& field : fields) {
    if (field.required && seen.count(field.key) == 0) {
      findings->Add(section.line, fmt::format("[{}] lacks key '{}'",
                                              section.name, field.key));
    }
  }
}

std::string WriteFields(const std::string& name,
                        const std::vector<Field>& fields) {
  std::string text = fmt::format("[{}]\n", name);
  for (const Field& field : fields) {
    std::string value = field.write();
    // Omitted because the default of every optional text or list is empty.
    if (!value.empty()) text += fmt::format("{} = {}\n", field.key, value);
  }
  return text;
}

}  // namespace clementine
