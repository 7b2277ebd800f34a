// Runs once for each answer, not for each token. Strings in a delta are
// appended to the message, tool calls are matched by their index, and other
// members replace earlier ones.

#include "daemon/chat_answer.h"

#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "config/config.h"

namespace clementine {
namespace {

using Json = nlohmann::json;

void AppendDelta(const Json& delta, Json* message);

void AppendToolCalls(const Json& calls, Json* message) {
  Json& merged = (*message)["tool_calls"];
  if (!merged.is_array()) merged = Json::array();
  for (const Json& call : calls) {
    std::size_t index = call.value("index", merged.size());
    if (index > merged.size()) throw std::runtime_error("tool call index gap");
    if (index == merged.size()) merged.push_back(Json::object());
    AppendDelta(call, &merged[index]);
  }
}

void AppendDelta(const Json& delta, Json* message) {
  for (const auto& [name, value] : delta.items()) {
    if (value.is_null()) continue;
    Json& member = (*message)[name];
    bool concatenates = name != "role" && name != "id" && name != "type";
    if (name == "tool_calls") {
      AppendToolCalls(value, message);
    } else if (value.is_string() && member.is_string() && concatenates) {
      member.get_ref<std::string&>() += value.get_ref<const std::string&>();
    } else if (value.is_object() && member.is_object()) {
      AppendDelta(value, &member);
    } else {
      member = value;
    }
  }
}

void AppendChoice(const Json& choice, std::map<int, Json>* choices) {
  int index = choice.value("index", 0);
  auto [entry, added] = choices->try_emplace(index);
  Json& merged = entry->second;
  if (added) {
    merged = {{"index", index},
              {"message", {{"role", "assistant"}, {"content", ""}}},
              {"finish_reason", nullptr}};
  }
  auto delta = choice.find("delta");
  if (delta != choice.end() && delta->is_object()) {
    AppendDelta(*delta, &merged["message"]);
  }
  auto reason = choice.find("finish_reason");
  if (reason != choice.end() && !reason->is_null()) {
    merged["finish_reason"] = *reason;
  }
}

}  // namespace

std::string JoinChatEvents(const std::vector<std::string>& events) {
  Json answer = {{"object", "chat.completion"}};
  std::map<int, Json> choices;
  try {
    for (const std::string& event : events) {
      Json chunk = ParseJson(event);
      for (const auto& [name, value] : chunk.items()) {
        if (name == "choices") {
          for (const Json& choice : value) AppendChoice(choice, &choices);
        } else if (name != "object" && !value.is_null()) {
          answer[name] = value;
        }
      }
    }
    answer["choices"] = Json::array();
    for (auto& [index, choice] : choices) {
      answer["choices"].push_back(std::move(choice));
    }
    return JsonText(answer);
  } catch (const Json::exception& error) {
    throw std::runtime_error(error.what());
  }
}

}  // namespace clementine
