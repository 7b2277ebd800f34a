// Describes the keys of an INI section as a table of fields. A field has a key,
// a function that parses its value, and one that formats the value canonically.
// The table is used for parsing, for splitting a configuration into sections
// and for checking the documentation. Internal to config/ and to programs that
// read other INI files.
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
  /// Parses and stores a value. Returns an error message, or "" on success.
  std::function<std::string(const std::string& value)> read;
  /// Returns the stored value in canonical form, which `read` accepts.
  std::function<std::string()> write;
  bool required = false;
};

/// Characters that a name may contain in addition to letters, digits and
/// "._-".
enum class NameKind {
  kPlain,  ///< None. For names that are embedded in other names or keys.
  kPath,   ///< "/:@+%~". For weights, versions and paths.
};

/// Returns an error message if a name is invalid, else "".
std::string CheckName(const std::string& name, NameKind kind);

/// Returns an error message if an address is not "IP:port", else "".
std::string CheckAddress(const std::string& address, bool allow_port_zero);

Field NameField(const char* key, NameKind kind, std::string* target);
/// Any text that is not empty. Error messages never contain the text.
Field SecretField(const char* key, std::string* target);
Field AddressField(const char* key, bool allow_port_zero, std::string* target);
Field AddressListField(const char* key, std::vector<std::string>* target);
/// Names separated by commas; duplicates are an error.
Field NameListField(const char* key, NameKind kind,
                    std::vector<std::string>* target);
Field IntField(const char* key, int min, int max, int* target);
Field SizeField(const char* key, std::size_t min, std::size_t max,
                std::size_t* target);
Field SeedField(const char* key, std::uint64_t* target);
Field NumberField(const char* key, double min, double max, double* target);
/// "yes" or "no"; "true" and "false" are accepted too.
Field BoolField(const char* key, bool* target);
/// A whole number with a unit: ms, s, m, h or d.
Field DurationField(const char* key, std::chrono::milliseconds min,
                    std::chrono::milliseconds max,
                    std::chrono::milliseconds* target);
/// The same for durations of whole seconds.
Field DurationField(const char* key, std::chrono::seconds min,
                    std::chrono::seconds max, std::chrono::seconds* target);
Field RequestClassField(const char* key, RequestClass* target);

/// Returns a copy of a field that is marked as required.
Field Required(Field field);

/// Parses the keys of a section into the targets of the fields. Unknown and
/// repeated keys, missing required keys and invalid values become findings.
void ReadFields(const IniSection& section, const std::vector<Field>& fields,
                FindingList* findings);

/// Formats a section canonically: all fields with a value, in the table's
/// order.
std::string WriteFields(const std::string& name,
                        const std::vector<Field>& fields);

/// A key that the parser accepts. Used to check the documentation.
struct KnownKey {
  std::string section;  ///< Kind of the section, such as "model".
  std::string key;
  /// Default in the syntax of a file; may be empty.
  std::string default_value;
  bool required = false;
};
std::vector<KnownKey> KnownDeclarationKeys();
std::vector<KnownKey> KnownSettingKeys();

}  // namespace clementine

#endif  // CONFIG_FIELDS_H_
