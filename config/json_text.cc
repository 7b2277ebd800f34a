// The only file that instantiates the JSON parser and serializer. Each further
// instantiation costs about ten seconds of compile time under the sanitizers.
//
// The parser has a stack of its own, but the serializer recurses. Therefore,
// the nesting depth of a text is limited before the text is parsed.

#include <boost/locale/utf.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string>

#include "config/config.h"

namespace clementine {
namespace {

using Utf8 = boost::locale::utf::utf_traits<char>;

/// Documents of the platform and of daemons have about ten levels.
constexpr int kMaxDepth = 64;
/// A number that is shorter and has no exponent fits into a double.
constexpr std::size_t kMinOverflowingLength = 300;
/// Error id of nlohmann's syntax errors.
constexpr int kSyntaxErrorId = 101;

bool IsNumberCharacter(char c) {
  return (c >= '0' && c <= '9') || c == '-' || c == '+' || c == '.' ||
         c == 'e' || c == 'E';
}

/// Whether the magnitude of a number exceeds the range of double.
bool OverflowsDouble(std::string_view number) {
  bool may_overflow = number.size() >= kMinOverflowingLength ||
                      number.find_first_of("eE") != std::string_view::npos;
  if (!may_overflow) return false;
  double value = 0.0;
  auto [parsed_end, error] =
      std::from_chars(number.data(), number.data() + number.size(), value);
  // from_chars also reports underflow as out of range. Underflow is harmless.
  bool negative_exponent = number.find("e-") != std::string_view::npos ||
                           number.find("E-") != std::string_view::npos;
  return error == std::errc::result_out_of_range && !negative_exponent;
}

/// Returns the length of the UTF-8 sequence at the start of a text, or 0 if it
/// is invalid.
std::size_t SequenceLength(std::string_view text) {
  const char* next = text.data();
  auto point = Utf8::decode(next, text.data() + text.size());
  bool valid = boost::locale::utf::is_valid_codepoint(point);
  return valid ? static_cast<std::size_t>(next - text.data()) : 0;
}

/// Copies a JSON text and replaces the parts for which the parser would reject
/// the whole text: see ParseJsonLeniently.
class JsonSanitizer {
 public:
  explicit JsonSanitizer(std::string_view text) : m_text(text) {}

  std::string Sanitize() {
    m_out.reserve(m_text.size());
    while (m_position < m_text.size()) CopyNext();
    return std::move(m_out);
  }

 private:
  void CopyNext() {
    char c = m_text[m_position];
    if (c == '"') {
      CopyString();
    } else if (c == '[' || c == '{') {
      if (++m_depth == kMaxDepth + 1) Append("null");
      Copy(1);
    } else if (c == ']' || c == '}') {
      Copy(1, m_depth-- > kMaxDepth);
    } else if (IsNumberCharacter(c)) {
      CopyNumber();
    } else {
      Copy(1);
    }
  }

  void Append(std::string_view bytes) { m_out.append(bytes); }

  /// Moves past `count` bytes. Copies them unless `skip` is set or they are
  /// beyond the maximum depth.
  void Copy(std::size_t count, bool skip = false) {
    if (!skip && m_depth <= kMaxDepth) Append(m_text.substr(m_position, count));
    m_position += count;
  }

  void CopyString() {
    Copy(1);
    while (m_position < m_text.size() && m_text[m_position] != '"') {
      auto c = static_cast<unsigned char>(m_text[m_position]);
      std::size_t length = SequenceLength(m_text.substr(m_position));
      if (c == '\\' && m_position + 1 < m_text.size()) {
        Copy(2);
      } else if (c < ' ' || length == 0) {
        if (m_depth <= kMaxDepth) Append("?");
        ++m_position;
      } else {
        Copy(length);
      }
    }
    if (m_position < m_text.size()) Copy(1);
  }

  void CopyNumber() {
    std::size_t end = m_position;
    while (end < m_text.size() && IsNumberCharacter(m_text[end])) ++end;
    std::string_view number = m_text.substr(m_position, end - m_position);
    bool overflows = OverflowsDouble(number);
    if (overflows && m_depth <= kMaxDepth) Append("null");
    Copy(number.size(), overflows);
  }

  std::string_view m_text;
  std::string m_out;
  std::size_t m_position = 0;
  int m_depth = 0;
};

}  // namespace

bool NestsTooDeeply(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxDepth) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

nlohmann::json ParseJson(std::string_view text) {
  if (NestsTooDeeply(text)) {
    throw nlohmann::json::parse_error::create(
        kSyntaxErrorId, 0, "JSON text is nested too deeply", nullptr);
  }
  return nlohmann::json::parse(text);
}

nlohmann::json TryParseJson(std::string_view text) {
  if (NestsTooDeeply(text)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(text, nullptr, false);
}

nlohmann::json ParseJsonLeniently(std::string_view text) {
  return nlohmann::json::parse(JsonSanitizer(text).Sanitize());
}

std::string JsonText(const nlohmann::json& value, int indent) {
  return value.dump(indent);
}

}  // namespace clementine
