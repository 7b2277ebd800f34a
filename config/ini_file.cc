// inih parses keys and values; the reader that feeds it line by line counts
// the lines. inih reports only the first syntax error and doesn't call the
// handler for sections without keys, so the reader handles section headers
// itself and records a syntax error for each line that neither is blank nor
// leads to a call of the handler.

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
constexpr int kFirstBufferBytes = 1'024;  // inih doubles it for longer lines.
// Names longer than this get no suggestion; bounds the cost of Distance.
constexpr std::size_t kMaxSuggestedBytes = 64;

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

// State shared by the reader and the handler of one parse.
class IniParse {
 public:
  IniParse(const std::string& text, FindingList* findings)
      : m_text(text), m_findings(findings) {}

  std::vector<IniSection> Run() {
    // The library's defaults cut lines at 200 bytes. The values are the same
    // for every call.
    ini_max_line = static_cast<int>(kMaxLineBytes) + 3;
    ini_initial_alloc = kFirstBufferBytes;
    ini_allow_realloc = true;
    ini_use_stack = false;
    if (ini_parse_stream(&IniParse::Read, this, &IniParse::Handle, this) < 0) {
      m_findings->Add(0, "out of memory");
    }
    return std::move(m_sections);
  }

 private:
  // fgets for inih: the next piece of a line, nullptr at the end. Lines that
  // inih need not see are passed on empty.
  static char* Read(char* buffer, int size, void* stream) {
    auto* self = static_cast<IniParse*>(stream);
    if (self->m_pending.empty()) {
      self->CheckHandled();
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

  static int Handle(void* user, const char* /*section*/, const char* name,
                    const char* value) {
    static_cast<IniParse*>(user)->AddKey(name, value);
    return 1;
  }

  void CheckHandled() {
    if (!m_expect_key) return;
    m_findings->Add(m_line, "expected 'key = value' or '[section]'");
    m_expect_key = false;
  }

  // Returns the next line if it should hold a key, otherwise "".
  std::string NextKeyLine() {
    std::size_t end = std::min(m_text.find('\n', m_position), m_text.size());
    std::string line = m_text.substr(m_position, end - m_position);
    m_position = end + 1;
    ++m_line;
    if (m_line == 1 && line.rfind("\xEF\xBB\xBF", 0) == 0) line.erase(0, 3);
    // Without leading white space inih sees no continuation lines, so that an
    // indented key can't be taken for a part of the value above it.
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
      OpenSection(line);
      return "";
    }
    m_expect_key = true;
    return line;
  }

  void OpenSection(const std::string& line) {
    std::size_t end = line.find(']');
    if (end == std::string::npos) {
      m_findings->Add(m_line, "section header without ']'");
      // Its keys belong to this header, not to the section above.
      m_sections.push_back({"", m_line, {}});
      return;
    }
    std::string rest = Trim(line.substr(end + 1));
    if (!rest.empty() && rest[0] != ';' && rest[0] != '#') {
      m_findings->Add(m_line, "unexpected text after ']'");
    }
    m_sections.push_back({Trim(line.substr(1, end - 1)), m_line, {}});
    if (m_sections.back().name.empty()) {
      m_findings->Add(m_line, "section without a name");
    }
  }

  void AddKey(const std::string& name, const std::string& value) {
    m_expect_key = false;
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
  std::string m_pending;  // Rest of the line that inih is reading.
  int m_line = 0;
  bool m_expect_key = false;  // The line handed out should call the handler.
};

// Edits between two names: insertions, deletions and replacements.
std::size_t Distance(const std::string& a, const std::string& b) {
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

std::vector<Finding> FindingList::Take() {
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
  return IniParse(file.text, findings).Run();
}

std::string Quote(const std::string& text) {
  if (text.size() <= kMaxQuotedBytes) return "'" + text + "'";
  return "'" + text.substr(0, kMaxQuotedBytes) + "...'";
}

std::string Suggestion(const std::string& name,
                       const std::vector<std::string>& names) {
  if (name.size() > kMaxSuggestedBytes) return "";
  std::size_t best = name.size() / 3 + 1;
  const std::string* nearest = nullptr;
  for (const std::string& candidate : names) {
    if (candidate.size() > kMaxSuggestedBytes) continue;
    std::size_t distance = Distance(name, candidate);
    if (distance > best || (nearest != nullptr && distance == best)) continue;
    best = distance;
    nearest = &candidate;
  }
  if (nearest == nullptr) return "";
  return fmt::format(" (did you mean '{}'?)", *nearest);
}

}  // namespace clementine
