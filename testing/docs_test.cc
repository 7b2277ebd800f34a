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

// Lines of the part with a heading such as "## [model NAME]".
std::vector<std::string> Part(const std::string& text,
                              const std::string& section) {
  std::vector<std::string> lines;
  bool inside = false;
  std::size_t start = 0;
  while (start < text.size()) {
    std::size_t end = std::min(text.find('\n', start), text.size());
    std::string line = text.substr(start, end - start);
    start = end + 1;
    if (line.rfind("## ", 0) == 0) {
      inside = line == "## [" + section + "]" ||
               line.rfind("## [" + section + " ", 0) == 0;
    } else if (inside) {
      lines.push_back(line);
    }
  }
  return lines;
}

// Checks that each key has a row with its default, and each row a key.
void CheckKeys(const std::string& file, const std::vector<KnownKey>& keys) {
  std::string text = ReadDoc(file);
  std::size_t rows = 0;
  for (const KnownKey& key : keys) {
    std::string start = "| `" + key.key + "` | ";
    int found = 0;
    for (const std::string& line : Part(text, key.section)) {
      if (line.rfind(start, 0) != 0) continue;
      ++found;
      std::string rest = line.substr(start.size());
      std::string fallback = rest.substr(0, rest.find(" |"));
      INFO(file << " [" << key.section << "] " << key.key << ": " << fallback);
      if (key.required) {
        CHECK(fallback == "required");
      } else if (!key.fallback.empty()) {
        CHECK(fallback == "`" + key.fallback + "`");
      }
    }
    CHECK_MESSAGE(found == 1, file << " [" << key.section << "] " << key.key);
  }
  for (std::size_t at = text.find("\n| `"); at != std::string::npos;
       at = text.find("\n| `", at + 1)) {
    ++rows;
  }
  CHECK(rows == keys.size());
}

// The first ```ini block.
std::string Example(const std::string& text) {
  const std::string open = "```ini\n";
  std::size_t start = text.find(open);
  REQUIRE(start != std::string::npos);
  start += open.size();
  return text.substr(start, text.find("```", start) - start);
}

}  // namespace

// Guards against a key, or a default, that changes without its documentation.
TEST_CASE("the documentation names every key with its default") {
  CheckKeys("settings.md", clementine::KnownSettingKeys());
  CheckKeys("files.md", clementine::KnownDeclarationKeys());
}

// Guards against operators copying an example that is refused.
TEST_CASE("the examples of the documentation are valid") {
  auto files = clementine::ParseConfiguration(
      {{"files.md", Example(ReadDoc("files.md"))}});
  CHECK(files.findings.empty());
  CHECK(files.configuration.routes.size() == 2);
  auto settings = clementine::ParseSettings(
      {"settings.md", Example(ReadDoc("settings.md"))});
  CHECK(settings.findings.empty());
}

// Guards against a reason in the status that operators can't look up.
TEST_CASE("the documentation names every reason for refusals") {
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
