// Each signed text begins with its purpose. A code for one purpose is therefore
// never valid for another.

#include "daemon/change_auth.h"

#include <algorithm>

#include "fmt/format.h"
#include "net/net.h"

namespace clementine {
namespace {

constexpr std::size_t kNonceBytes = 16;
constexpr char kNonceField[] = "&nonce=";
constexpr char kCodeField[] = "&code=";

std::string QueryCode(const std::string& key, const std::string& query) {
  return HexText(MessageCode(key, "query " + query));
}

/// Removes a field at the end of a query. @return Its value; empty when absent.
std::string RemoveLastField(const char* field, std::string* query) {
  std::size_t at = query->rfind(field);
  if (at == std::string::npos) return "";
  std::string value = query->substr(at + std::string_view(field).size());
  query->erase(at);
  return value;
}

}  // namespace

std::string SignNotice(const ChangeKeys& keys, std::string_view text) {
  if (keys.empty()) return "";
  return HexText(MessageCode(keys.front(), fmt::format("notice {}", text)));
}

bool VerifyNotice(const ChangeKeys& keys, std::string_view text,
                  std::string_view code) {
  if (keys.empty()) return true;
  return std::any_of(keys.begin(), keys.end(), [&](const std::string& key) {
    return SecretsEqual(
        std::string(code),
        HexText(MessageCode(key, fmt::format("notice {}", text))));
  });
}

std::string FrameCodes::NextCode(std::chrono::milliseconds elapsed,
                                 std::string_view body) {
  std::string text = fmt::format("frame {} {} {} {}", m_nonce, ++m_number,
                                 elapsed.count(), body);
  return HexText(MessageCode(m_key, text));
}

std::string SignChangeQuery(const ChangeKeys& keys, std::string query,
                            FrameCodes* codes) {
  if (keys.empty()) return query;
  std::string nonce = RandomToken(kNonceBytes);
  query += kNonceField + nonce;
  *codes = FrameCodes(keys.front(), nonce);
  return query + kCodeField + QueryCode(keys.front(), query);
}

std::optional<FrameCodes> VerifyChangeQuery(const ChangeKeys& keys,
                                            std::string* query) {
  if (keys.empty()) return FrameCodes();
  std::string code = RemoveLastField(kCodeField, query);
  std::string signed_query = *query;
  std::string nonce = RemoveLastField(kNonceField, query);
  if (code.empty() || nonce.empty()) return std::nullopt;
  for (const std::string& key : keys) {
    if (SecretsEqual(code, QueryCode(key, signed_query))) {
      return FrameCodes(key, nonce);
    }
  }
  return std::nullopt;
}

}  // namespace clementine
