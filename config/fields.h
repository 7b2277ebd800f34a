// Keys of a section as a table: each field knows its key, how to read its value
// and how to write it in canonical form. The same table serves parsing,
// splitting into sections and checking the documentation. Internal to
// config/ and to programs with INI files of their own.
#ifndef CONFIG_FIELDS_H_
#define CONFIG_FIELDS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/ini_file.h"

namespace clementine {

struct Field {
  std::string key;
  /// Stores a value; returns what is wrong with it, or "".
  std::function<std::string(const std::string& value)> read;
  /// Returns the value in the form that `read` accepts.
  std::function<std::string()> write;
  bool required = false;
};

/// Characters that a name may contain besides letters, digits and "._-".
enum class NameKind {
  kPlain,  ///< None. Names that become a part of another name or key.
  kPath,   ///< Also "/:@+%~". Weights, versions, addresses of content.
};

/// Returns what is wrong with a name, or "".
std::string CheckName(const std::string& name, NameKind kind);

/// Returns what is wrong with an "IP:port" address, or "".
std::string CheckAddress(const std::string& address, bool allow_port_zero);

Field NameField(const char* key, NameKind kind, std::string* target);
/// Any text that isn't empty. A message about it never repeats the text.
Field SecretField(const char* key, std::string* target);
Field AddressField(const char* key, bool allow_port_zero, std::string* target);
Field AddressListField(const char* key, std::vector<std::string>* target);
/// Names separated by commas, without duplicates.
Field NameListField(const char* key, NameKind kind,
                    std::vector<std::string>* target);
Field IntField(const char* key, int min, int max, int* target);
Field SizeField(const char* key, std::size_t min, std::size_t max,
                std::size_t* target);
Field SeedField(const char* key, std::uint64_t* target);
Field NumberField(const char* key, double min, double max, double* target);
/// "yes" or "no"; "true" and "false" are accepted.
Field FlagField(const char* key, bool* target);
/// A number with a unit: ms, s, m, h or d.
Field DurationField(const char* key, std::chrono::milliseconds min,
                    std::chrono::milliseconds max,
                    std::chrono::milliseconds* target);
/// As DurationField, in whole seconds.
Field DurationField(const char* key, std::chrono::seconds min,
                    std::chrono::seconds max, std::chrono::seconds* target);
Field ClassField(const char* key, RequestClass* target);

/// Marks a field as required.
Field Required(Field field);

/// Reads the keys of a section. Unknown, repeated, missing and bad keys become
/// findings.
void ReadFields(const IniSection& section, const std::vector<Field>& fields,
                FindingList* findings);

/// Writes a section in canonical form: every field, in the table's order.
std::string WriteFields(const std::string& name,
                        const std::vector<Field>& fields);

/// A key that a parser knows, for the check of the documentation.
struct KnownKey {
  std::string section;  ///< Kind of the section, such as "model".
  std::string key;
  std::string fallback;  ///< Default as a file would give it; may be empty.
  bool required = false;
};
std::vector<KnownKey> KnownDeclarationKeys();
std::vector<KnownKey> KnownSettingKeys();

}  // namespace clementine

#endif  // CONFIG_FIELDS_H_
