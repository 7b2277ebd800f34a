// inih parses keys and values. The reader passes it one line at a time and
// counts lines. inih reports only the first syntax error and does not call the
// handler for sections without keys. Therefore, the reader parses section
// headers itself, and it reports a syntax error for each line that it passed to
// inih and for which inih did not call the handler.

#include "config/ini_file.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "fmt/format.h"

namespace clementine {
namespace {

constexpr char kWhiteSpace[] = " \t\r\f\v";
constexpr std::size_t kMaxQuotedBytes = 80;
constexpr int kInitialBufferBytes = 1'024;  // inih doubles it for longer lines.
// Longer names get no suggestion. Bounds the cost of the edit distance.
constexpr std::size_t kMaxSuggestionNameBytes = 64;

std::string Trim(const std::string& text) {
  std::size_t first = text.find_first_not_of(kWhiteSpace);
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(kWhiteSpace) - first + 1);
}

bool HasControlCharacter(const std::string& text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    auto byte = static_cast<unsigned char>(c);
    return (byte < ' ' && c != '\t') || byte == 0x7f;
  });
}

// Parses one file; holds the state of the callbacks that inih calls.
class IniParser {
 public:
  IniParser(const std::string& text, FindingList* findings)
      : m_text(text), m_findings(findings) {}

  std::vector<IniSection> Parse() {
    // By default, inih truncates lines at 200 bytes. These variables are global
    // to inih; every call sets the same values.
    ini_max_line = static_cast<int>(kMaxLineBytes) + 3;
    ini_initial_alloc = kInitialBufferBytes;
    ini_allow_realloc = true;
    ini_use_stack = false;
    if (ini_parse_stream(&IniParser::ReadChunk, this, &IniParser::OnKey, this) <
        0) {
      m_findings->Add(0, "out of memory");
    }
    return std::move(m_sections);
  }

 private:
  // Replaces fgets for inih: copies the next piece of a line, or returns
  // nullptr at the end. Lines that hold no key are passed as empty lines.
  static char* ReadChunk(char* buffer, int size, void* stream) {
    auto* self = static_cast<IniParser*>(stream);
    if (self->m_pending.empty()) {
      self->ReportLineWithoutKey();
      if (self->m_position >= self->m_text.size()) return nullptr;
      self->m_pending = self->NextKeyLine() + "\n";
    }
    std::size_t count =
        std::min(self->m_pending.size(), static_cast<std::size_t>(size) - 1);
    std::memcpy(buffer, self->m_pending.data(), count);
    buffer[count] = '\0';
    self->m_pending.erase(0, count);
    return buffer;
  }

  static int OnKey(void* user, const char* /*section*/, const char* name,
                   const char* value) {
    static_cast<IniParser*>(user)->AddKey(name, value);
    return 1;
  }

  void ReportLineWithoutKey() {
    if (!m_key_pending) return;
    m_findings->Add(m_line, "expected 'key = value' or '[section]'");
    m_key_pending = false;
  }

  // Returns the next line if it must hold a key, else "".
  std::string NextKeyLine() {
    std::size_t end = std::min(m_text.find('\n', m_position), m_text.size());
    std::string line = m_text.substr(m_position, end - m_position);
    m_position = end + 1;
    ++m_line;
    if (m_line == 1 && line.rfind("\xEF\xBB\xBF", 0) == 0) line.erase(0, 3);
    // inih treats an indented line as a continuation of the value above. A key
    // may be indented; removing the white space prevents that it is appended.
    line = Trim(line);
    if (line.empty() || line[0] == ';' || line[0] == '#') return "";
    if (line.size() > kMaxLineBytes) {
      m_findings->Add(
          m_line, fmt::format("line is longer than {} bytes", kMaxLineBytes));
      return "";
    }
    if (HasControlCharacter(line)) {
      m_findings->Add(m_line, "line contains a control character");
      return "";
    }
    if (line[0] == '[') {
      StartSection(line);
      return "";
    }
    m_key_pending = true;
    return line;
  }

  void StartSection(const std::string& line) {
    std::size_t end = line.find(']');
    if (end == std::string::npos) {
      m_findings->Add(m_line, "section header without ']'");
      // The keys that follow must not be added to the previous section.
      m_sections.push_back({"", m_line, {}});
      return;
    }
    std::string rest = Trim(line.substr(end + 1));
    if (!rest.empty() && rest[0] != ';' && rest[0] != '#') {
      m_findings->Add(m_line, "unexpected text after ']' of section header");
    }
    m_sections.push_back({Trim(line.substr(1, end - 1)), m_line, {}});
    if (m_sections.back().name.empty()) {
      m_findings->Add(m_line, "section without a name");
    }
  }

  void AddKey(const std::string& name, const std::string& value) {
    m_key_pending = false;
    if (m_sections.empty()) {
      m_findings->Add(
          m_line, fmt::format("key {} is outside of a section", Quote(name)));
      return;
    }
    m_sections.back().keys.push_back({name, value, m_line});
  }

  const std::string& m_text;
  FindingList* m_findings;
  std::vector<IniSection> m_sections;
  std::size_t m_position = 0;
  std::string m_pending;  // Remainder of the line that inih is reading.
  int m_line = 0;
  // A line with a key was passed to inih; the handler has not been called yet.
  bool m_key_pending = false;
};

// Levenshtein distance: insertions, deletions and replacements.
std::size_t EditDistance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row[b.size()];
}

}  // namespace

void FindingList::Add(int line, std::string message) {
  if (m_findings.size() < kMaxFindings) {
    m_findings.push_back({m_file, line, std::move(message)});
  } else {
    ++m_omitted;
  }
}

std::vector<Finding> FindingList::TakeFindings() {
  std::stable_sort(
      m_findings.begin(), m_findings.end(),
      [](const Finding& a, const Finding& b) { return a.line < b.line; });
  if (m_omitted > 0) {
    m_findings.push_back(
        {m_file, 0, fmt::format("{} further findings omitted", m_omitted)});
  }
  m_omitted = 0;
  return std::exchange(m_findings, {});
}

std::vector<IniSection> ReadIni(const SourceFile& file, FindingList* findings) {
  if (file.text.size() > kMaxFileBytes) {
    findings->Add(0, fmt::format("file has {} bytes, the limit is {}",
                                 file.text.size(), kMaxFileBytes));
    return {};
  }
  return IniParser(file.text, findings).Parse();
}

std::string Quote(const std::string& text) {
  if (text.size() <= kMaxQuotedBytes) return "'" + text + "'";
  return "'" + text.substr(0, kMaxQuotedBytes) + "...'";
}

std::string Suggestion(const std::string& name,
                       const std::vector<std::string>& names) {
  if (name.size() > kMaxSuggestionNameBytes) return "";
  std::size_t best = name.size() / 3 + 1;
  const std::string* nearest = nullptr;
  for (const std::string& candidate : names) {
    if (candidate.size() > kMaxSuggestionNameBytes) continue;
    std::size_t distance = EditDistance(name, candidate);
    if (distance > best || (nearest != nullptr && distance == best)) continue;
    best = distance;
    nearest = &candidate;
  }
  if (nearest == nullptr) return "";
  return fmt::format(" (did you mean '{}'?)", *nearest);
}

}  // namespace clementine
