// The only place where JSON is parsed and written. Each file that does so
// itself instantiates the parser and the serializer, which under the
// sanitizers costs about ten seconds of compile time.

#include <nlohmann/json.hpp>

#include "config/config.h"

namespace clementine {

nlohmann::json ParseJson(std::string_view text) {
  return nlohmann::json::parse(text);
}

nlohmann::json TryParseJson(std::string_view text) {
  return nlohmann::json::parse(text, nullptr, false);
}

std::string JsonText(const nlohmann::json& value, int indent) {
  return value.dump(indent);
}

}  // namespace clementine
