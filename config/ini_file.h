// An INI file as sections and keys with their lines. Internal to config/
// and to programs with INI files of their own.
#ifndef CONFIG_INI_FILE_H_
#define CONFIG_INI_FILE_H_

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "config/config.h"

namespace clementine {

/// Longest line, in bytes. Above kMaxObjectBytes, so that an oversized list is
/// reported as an oversized section.
inline constexpr std::size_t kMaxLineBytes = 2'000'000;
/// Largest file, in bytes.
inline constexpr std::size_t kMaxFileBytes = 16'000'000;
/// Findings kept for each file; further ones are counted only.
inline constexpr std::size_t kMaxFindings = 1'000;

struct IniKey {
  std::string name;
  std::string value;
  int line = 0;
};

struct IniSection {
  std::string name;  ///< Text between the brackets, white space trimmed.
  int line = 0;
  std::vector<IniKey> keys;
};

/// Collects the findings of one file, at most kMaxFindings.
class FindingList {
 public:
  explicit FindingList(std::string file) : m_file(std::move(file)) {}

  void Add(int line, std::string message);
  bool empty() const { return m_findings.empty(); }

  /// Returns the findings in line order and forgets them.
  std::vector<Finding> Take();

 private:
  std::string m_file;
  std::vector<Finding> m_findings;
  std::size_t m_omitted = 0;
};

/// Reads a file into sections. Syntax errors, oversized input, control
/// characters and keys outside of a section become findings.
std::vector<IniSection> ReadIni(const SourceFile& file, FindingList* findings);

/// Quotes text from a file for a message; long text is cut.
std::string Quote(const std::string& text);

/// Returns " (did you mean 'NAME'?)" for the nearest of `names`, or "" when
/// none is near.
std::string Suggestion(const std::string& name,
                       const std::vector<std::string>& names);

}  // namespace clementine

#endif  // CONFIG_INI_FILE_H_
