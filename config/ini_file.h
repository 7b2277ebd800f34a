// Reads an INI file into sections and keys with line numbers. Internal to
// config/ and to programs that read other INI files.
#ifndef CONFIG_INI_FILE_H_
#define CONFIG_INI_FILE_H_

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"

namespace clementine {

/// Maximum length of a line. Exceeds kMaxObjectBytes; a list that is too long
/// is therefore reported as an oversized section.
inline constexpr std::size_t kMaxLineBytes = 2'000'000;
/// Maximum size of a file.
inline constexpr std::size_t kMaxFileBytes = 16'000'000;
/// Maximum number of findings stored per file; others are only counted.
inline constexpr std::size_t kMaxFindings = 1'000;

struct IniKey {
  std::string name;
  std::string value;
  int line = 0;
};

struct IniSection {
  std::string name;  ///< Text between the brackets, trimmed.
  int line = 0;
  std::vector<IniKey> keys;
};

/// Collects the findings of one file. Stores at most kMaxFindings.
class FindingList {
 public:
  explicit FindingList(std::string file) : m_file(std::move(file)) {}

  void Add(int line, std::string message);
  bool empty() const { return m_findings.empty(); }

  /// Returns the findings sorted by line and clears the list.
  std::vector<Finding> TakeFindings();

 private:
  std::string m_file;
  std::vector<Finding> m_findings;
  std::size_t m_omitted = 0;
};

/// Reads a file into sections. Syntax errors, oversized input, control
/// characters and keys outside sections become findings.
std::vector<IniSection> ReadIni(const SourceFile& file, FindingList* findings);

/// Quotes text of a file for a message. Long text is truncated.
std::string Quote(const std::string& text);

/// Returns " (did you mean 'NAME'?)" for the candidate with the smallest edit
/// distance to `name`, or "" if none is similar.
std::string Suggestion(const std::string& name,
                       const std::vector<std::string>& names);

}  // namespace clementine

#endif  // CONFIG_INI_FILE_H_
