// The only place where JSON is parsed and written. Each file that does so
// itself instantiates the parser and the serializer, which under the
// sanitizers costs about ten seconds of compile time.
//
// The parser keeps its own stack, but the serializer recurses, so that texts
// are bounded in depth before they are parsed.

#include <boost/locale/utf.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string>

#include "config/config.h"

namespace clementine {
namespace {

using Utf8 = boost::locale::utf::utf_traits<char>;

/// Documents of the platform and of daemons nest about ten levels.
constexpr int kMostDepth = 64;
/// A shorter number without an exponent is in range.
constexpr std::size_t kLeastLongNumber = 300;
/// Code of nlohmann's syntax errors.
constexpr int kSyntaxError = 101;

bool IsNumberCharacter(char c) {
  return (c >= '0' && c <= '9') || c == '-' || c == '+' || c == '.' ||
         c == 'e' || c == 'E';
}

/// Whether the text of a number is one that no double holds.
bool Overflows(std::string_view number) {
  bool suspect = number.size() >= kLeastLongNumber ||
                 number.find_first_of("eE") != std::string_view::npos;
  if (!suspect) return false;
  double value = 0.0;
  auto [stop, error] =
      std::from_chars(number.data(), number.data() + number.size(), value);
  // Numbers that are too small are out of range as well, and harmless.
  bool negative_exponent = number.find("e-") != std::string_view::npos ||
                           number.find("E-") != std::string_view::npos;
  return error == std::errc::result_out_of_range && !negative_exponent;
}

/// Length of the UTF-8 sequence at the front; 0 when it isn't one.
std::size_t SequenceLength(std::string_view text) {
  const char* next = text.data();
  auto point = Utf8::decode(next, text.data() + text.size());
  bool valid = boost::locale::utf::is_valid_codepoint(point);
  return valid ? static_cast<std::size_t>(next - text.data()) : 0;
}

/// Copies a text without what makes a parser give up the whole of it.
class Sanitizer {
 public:
  explicit Sanitizer(std::string_view text) : m_text(text) {}

  std::string Run() {
    m_out.reserve(m_text.size());
    while (m_at < m_text.size()) Step();
    return std::move(m_out);
  }

 private:
  void Step() {
    char c = m_text[m_at];
    if (c == '"') {
      CopyString();
    } else if (c == '[' || c == '{') {
      if (++m_depth == kMostDepth + 1) Put("null");
      Copy(1);
    } else if (c == ']' || c == '}') {
      Copy(1, m_depth-- > kMostDepth);
    } else if (IsNumberCharacter(c)) {
      CopyNumber();
    } else {
      Copy(1);
    }
  }

  void Put(std::string_view bytes) { m_out.append(bytes); }

  /// Takes bytes over unless they are nested too deeply.
  void Copy(std::size_t count, bool skip = false) {
    if (!skip && m_depth <= kMostDepth) Put(m_text.substr(m_at, count));
    m_at += count;
  }

  void CopyString() {
    Copy(1);
    while (m_at < m_text.size() && m_text[m_at] != '"') {
      auto c = static_cast<unsigned char>(m_text[m_at]);
      std::size_t length = SequenceLength(m_text.substr(m_at));
      if (c == '\\' && m_at + 1 < m_text.size()) {
        Copy(2);
      } else if (c < ' ' || length == 0) {
        if (m_depth <= kMostDepth) Put("?");
        ++m_at;
      } else {
        Copy(length);
      }
    }
    if (m_at < m_text.size()) Copy(1);
  }

  void CopyNumber() {
    std::size_t end = m_at;
    while (end < m_text.size() && IsNumberCharacter(m_text[end])) ++end;
    std::string_view number = m_text.substr(m_at, end - m_at);
    bool overflows = Overflows(number);
    if (overflows && m_depth <= kMostDepth) Put("null");
    Copy(number.size(), overflows);
  }

  std::string_view m_text;
  std::string m_out;
  std::size_t m_at = 0;
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
      if (++depth > kMostDepth) return true;
    } else if (c == ']' || c == '}') {
      --depth;
    }
  }
  return false;
}

nlohmann::json ParseJson(std::string_view text) {
  if (NestsTooDeeply(text)) {
    throw nlohmann::json::parse_error::create(kSyntaxError, 0,
                                              "nested too deeply", nullptr);
  }
  return nlohmann::json::parse(text);
}

nlohmann::json TryParseJson(std::string_view text) {
  if (NestsTooDeeply(text)) {
    return nlohmann::json(nlohmann::json::value_t::discarded);
  }
  return nlohmann::json::parse(text, nullptr, false);
}

nlohmann::json ParseForeignJson(std::string_view text) {
  return nlohmann::json::parse(Sanitizer(text).Run());
}

std::string JsonText(const nlohmann::json& value, int indent) {
  return value.dump(indent);
}

}  // namespace clementine
