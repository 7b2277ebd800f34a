// The body of a chat request is parsed once, here. Only the members that affect
// routing and admission are read; the engine receives the others as the caller
// wrote them.

#include "daemon/request_reader.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "config/config.h"
#include "fmt/format.h"

namespace clementine {
namespace {

using Json = nlohmann::json;

constexpr const char* kChatPath = "/v1/chat/completions";
constexpr std::size_t kPrefixBlockBytes = 256;
constexpr std::size_t kMaxPrefixBlocks = 1024;
constexpr std::size_t kBytesPerToken = 4;  ///< To estimate prompt tokens.
constexpr std::uint32_t kDefaultMaxTokens = 256;
constexpr std::chrono::milliseconds kMaxTimeout{std::chrono::hours(24)};
constexpr std::size_t kMaxKeyBytes = 256;

/// Thrown during parsing and converted into ReadResult::error.
struct Rejected {
  RequestError error;
};

[[noreturn]] void Reject(int status, std::string type, std::string message) {
  throw Rejected{{status, std::move(type), std::move(message)}};
}

Json ParseBody(const std::string& body) {
  Json json = TryParseJson(body);
  if (json.is_discarded() && NestsTooDeeply(body)) {
    Reject(400, "invalid_json", "the body is nested too deep");
  }
  if (!json.is_object()) {
    Reject(400, "invalid_json", "the body isn't a JSON object");
  }
  return json;
}

std::string PromptText(const Json& json) {
  auto messages = json.find("messages");
  if (messages == json.end() || !messages->is_array() || messages->empty()) {
    Reject(400, "invalid_request", "\"messages\" must be a non-empty array");
  }
  std::string text;
  for (const Json& message : *messages) {
    if (!message.is_object()) {
      Reject(400, "invalid_request", "each message must be an object");
    }
    for (const char* member : {"role", "content"}) {
      auto found = message.find(member);
      if (found != message.end()) {
        text +=
            found->is_string() ? found->get<std::string>() : JsonText(*found);
      }
      text += '\n';
    }
  }
  return text;
}

/// Returns a digest of each message before the last one, such as the system
/// prompt, the tools and earlier turns.
std::vector<std::string> SharedParts(const Json& messages) {
  std::vector<std::string> parts;
  for (std::size_t i = 0; i + 1 < messages.size(); ++i) {
    parts.push_back(TextDigest(JsonText(messages[i])));
  }
  return parts;
}

std::uint32_t MaxTokens(const Json& json) {
  for (const char* member : {"max_completion_tokens", "max_tokens"}) {
    auto found = json.find(member);
    if (found == json.end() || found->is_null()) continue;
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() == 0 ||
        found->get<std::uint64_t>() > UINT32_MAX) {
      Reject(400, "invalid_request",
             fmt::format("\"{}\" must be a positive integer", member));
    }
    return found->get<std::uint32_t>();
  }
  return kDefaultMaxTokens;
}

bool WantsStream(const Json& json) {
  auto found = json.find("stream");
  if (found == json.end() || found->is_null()) return false;
  if (!found->is_boolean()) {
    Reject(400, "invalid_request", "\"stream\" must be true or false");
  }
  return found->get<bool>();
}

/// Sets the model and the adapter. A caller that uses an adapter gives its name
/// instead of the model's.
void SetModel(const Configuration& configuration, const std::string& name,
              Request* request) {
  request->model = name;
  if (configuration.models.count(name) > 0) return;
  for (const auto& [model_name, model] : configuration.models) {
    if (std::count(model.adapters.begin(), model.adapters.end(), name) > 0) {
      request->model = model_name;
      request->adapter = name;
      return;
    }
  }
}

RequestClass ReadClass(std::string_view text, RequestClass fallback) {
  if (text.empty() || fallback == RequestClass::kPlain) return fallback;
  for (RequestClass request_class :
       {RequestClass::kCounter, RequestClass::kStream, RequestClass::kBatch}) {
    if (text == RequestClassName(request_class)) return request_class;
  }
  Reject(400, "invalid_request",
         "X-Request-Class must be counter, stream or batch");
}

milliseconds ReadTimeout(std::string_view text, milliseconds fallback) {
  if (text.empty()) return fallback;
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end || value <= 0) {
    Reject(400, "invalid_request",
           "X-Request-Timeout-Ms must be a positive integer");
  }
  return std::min(milliseconds(value), kMaxTimeout);
}

void ReadChat(const Configuration& configuration, const RouteSpec& route,
              const HttpRequest& http, ReadRequest* result) {
  if (http.method != "POST") {
    Reject(405, "method_not_allowed", "use POST");
  }
  Json json = ParseBody(http.body);
  std::string prompt = PromptText(json);
  Request& request = result->request;
  request.max_tokens = MaxTokens(json);
  request.prompt_tokens =
      static_cast<std::uint32_t>(prompt.size() / kBytesPerToken + 1);
  request.prefix_blocks = PrefixBlocks(prompt);
  request.shared_parts = SharedParts(json["messages"]);
  result->streamed = WantsStream(json);
  auto model = json.find("model");
  bool named = model != json.end() && model->is_string();
  SetModel(configuration, named ? model->get<std::string>() : route.model,
           &request);
  if (request.model.empty()) {
    Reject(400, "invalid_request", "\"model\" is missing");
  }
  if (result->streamed && named) {
    result->body = std::make_shared<const std::string>(http.body);
    return;
  }
  json["stream"] = true;
  if (!named) json["model"] = request.model;
  result->body = std::make_shared<const std::string>(JsonText(json));
}

void ReadPlain(const RouteSpec& route, const HttpRequest& http,
               ReadRequest* result) {
  result->request.service = route.service;
  result->method = http.method;
  result->target =
      http.query.empty() ? http.path : http.path + "?" + http.query;
  for (const char* name : {"Content-Type", "Accept"}) {
    std::string_view value = FindHeader(http.headers, name);
    if (!value.empty()) result->headers.emplace_back(name, value);
  }
  result->body = std::make_shared<const std::string>(http.body);
}

void ReadCommon(const Settings& settings, const RouteSpec& route,
                const HttpRequest& http, TimePoint now, Request* request) {
  request->path = route.path;
  request->request_class = ReadClass(
      FindHeader(http.headers, "X-Request-Class"), route.request_class);
  request->deadline =
      now + ReadTimeout(FindHeader(http.headers, "X-Request-Timeout-Ms"),
                        route.timeout);
  request->idempotent = route.idempotent;
  request->idempotency_key =
      std::string(FindHeader(http.headers, settings.idempotency_header));
  if (request->idempotency_key.size() > kMaxKeyBytes) {
    Reject(400, "invalid_request",
           fmt::format("{} is longer than {} bytes",
                       settings.idempotency_header, kMaxKeyBytes));
  }
  // The digest covers the method and the target too: an idempotency key must
  // not be reused for another method, target or body.
  request->content_digest = TextDigest(http.method + " " + http.path + "?" +
                                       http.query + "\n" + http.body);
}

ReadRequest Read(const Settings& settings, const Configuration& configuration,
                 const HttpRequest& http, TimePoint now) {
  ReadRequest result;
  Request& request = result.request;
  request.organisation =
      FindOrganisation(settings, FindHeader(http.headers, "Authorization"));
  if (request.organisation.empty()) {
    Reject(401, "unauthorized", "the bearer token is missing or unknown");
  }
  RouteSpec chat;
  chat.path = kChatPath;
  const RouteSpec* route = FindRoute(configuration, http.path);
  if (route == nullptr && http.path == kChatPath) route = &chat;
  if (route == nullptr) Reject(404, "unknown_route", "no such route");
  ReadCommon(settings, *route, http, now, &request);
  if (route->service.empty()) {
    ReadChat(configuration, *route, http, &result);
  } else {
    ReadPlain(*route, http, &result);
  }
  return result;
}

}  // namespace

std::string FindOrganisation(const Settings& settings,
                             std::string_view authorization) {
  constexpr std::string_view kScheme = "Bearer ";
  if (!authorization.starts_with(kScheme)) return "";
  std::string_view token = authorization.substr(kScheme.size());
  std::string found;
  for (const auto& [organisation, expected] : settings.organisation_tokens) {
    if (SecretsEqual(token, expected) && !expected.empty()) {
      found = organisation;
    }
  }
  return found;
}

const RouteSpec* FindRoute(const Configuration& configuration,
                           const std::string& path) {
  const RouteSpec* best = nullptr;
  for (const auto& [prefix, route] : configuration.routes) {
    bool matches = path.starts_with(prefix) &&
                   (path.size() == prefix.size() || prefix.ends_with('/') ||
                    path[prefix.size()] == '/');
    if (matches && (best == nullptr || prefix.size() > best->path.size())) {
      best = &route;
    }
  }
  return best;
}

std::vector<std::uint64_t> PrefixBlocks(std::string_view prompt) {
  std::vector<std::uint64_t> blocks;
  std::uint64_t hash = 0;
  while (prompt.size() >= kPrefixBlockBytes &&
         blocks.size() < kMaxPrefixBlocks) {
    hash = XXH3_64bits_withSeed(prompt.data(), kPrefixBlockBytes, hash);
    blocks.push_back(hash);
    prompt.remove_prefix(kPrefixBlockBytes);
  }
  return blocks;
}

ReadResult ReadCallerRequest(const Settings& settings,
                             const Configuration& configuration,
                             const HttpRequest& http, TimePoint now) {
  ReadResult result;
  try {
    result.request = Read(settings, configuration, http, now);
  } catch (const Rejected& rejected) {
    result.error = rejected.error;
  } catch (const Json::exception&) {
    result.error = {400, "invalid_json", "the body can't be read"};
  }
  return result;
}

}  // namespace clementine
