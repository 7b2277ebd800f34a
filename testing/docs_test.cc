#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/fields.h"
#include "core/core.h"

using clementine::KnownKey;

namespace {

std::string ReadDoc(const std::string& name) {
  std::ifstream stream(std::string(CLEMENTINE_SOURCE_DIR) + "/docs/" + name);
  REQUIRE(stream.good());
  return {std::istreambuf_iterator<char>(stream), {}};
}

// Returns the lines below a heading such as "## [model NAME]".
std::vector<std::string> SectionLines(const std::string& text,
                                      const std::string& section) {
  std::vector<std::string> lines;
  bool in_section = false;
  std::size_t start = 0;
  while (start < text.size()) {
    std::size_t end = std::min(text.find('\n', start), text.size());
    std::string line = text.substr(start, end - start);
    start = end + 1;
    if (line.rfind("## ", 0) == 0) {
      in_section = line == "## [" + section + "]" ||
                   line.rfind("## [" + section + " ", 0) == 0;
    } else if (in_section) {
      lines.push_back(line);
    }
  }
  return lines;
}

// Checks that each key has a table row with its default, and that there are no
// other rows.
void CheckKeys(const std::string& file, const std::vector<KnownKey>& keys) {
  std::string text = ReadDoc(file);
  std::size_t rows = 0;
  for (const KnownKey& key : keys) {
    std::string start = "| `" + key.key + "` | ";
    int key_rows = 0;
    for (const std::string& line : SectionLines(text, key.section)) {
      if (line.rfind(start, 0) != 0) continue;
      ++key_rows;
      std::string after_key = line.substr(start.size());
      std::string default_value = after_key.substr(0, after_key.find(" |"));
      INFO(file << " [" << key.section << "] " << key.key << ": "
                << default_value);
      if (key.required) {
        CHECK(default_value == "required");
      } else if (!key.default_value.empty()) {
        CHECK(default_value == "`" + key.default_value + "`");
      }
    }
    CHECK_MESSAGE(key_rows == 1,
                  file << " [" << key.section << "] " << key.key);
  }
  for (std::size_t at = text.find("\n| `"); at != std::string::npos;
       at = text.find("\n| `", at + 1)) {
    ++rows;
  }
  CHECK(rows == keys.size());
}

// Returns the text of the first ```ini block.
std::string FirstIniBlock(const std::string& text) {
  const std::string open = "```ini\n";
  std::size_t start = text.find(open);
  REQUIRE(start != std::string::npos);
  start += open.size();
  return text.substr(start, text.find("```", start) - start);
}

}  // namespace

// Guards against keys and defaults that differ from their documentation.
TEST_CASE("the documentation lists each key with its default") {
  CheckKeys("settings.md", clementine::KnownSettingKeys());
  CheckKeys("files.md", clementine::KnownDeclarationKeys());
}

// Guards against examples in the documentation that a daemon rejects.
TEST_CASE("the examples of the documentation are valid") {
  auto files = clementine::ParseConfiguration(
      {{"files.md", FirstIniBlock(ReadDoc("files.md"))}});
  CHECK(files.findings.empty());
  CHECK(files.configuration.routes.size() == 2);
  auto settings = clementine::ParseSettings(
      {"settings.md", FirstIniBlock(ReadDoc("settings.md"))});
  CHECK(settings.findings.empty());
}

// Guards against a refusal reason in the status that is not documented.
TEST_CASE("the documentation lists each refusal reason") {
  std::string text = ReadDoc("status.md");
  int count = 0;
  for (int value = 0;; ++value, ++count) {
    auto reason = static_cast<clementine::RefusalReason>(value);
    std::string name = clementine::RefusalReasonName(reason);
    if (name == "unknown") break;
    CHECK_MESSAGE(text.find("| `" + name + "` |") != std::string::npos, name);
  }
  CHECK(count >= 12);
}
