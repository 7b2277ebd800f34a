// Encoding of the protocol by which daemons send changes to each other.

#include <boost/beast/zlib.hpp>
#include <charconv>
#include <stdexcept>
#include <string_view>

#include "config/config.h"
#include "daemon/change_relay.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace clementine {
namespace {

using Json = nlohmann::json;
namespace zlib = boost::beast::zlib;

/// Longer bodies are deflated. They contain entries of servers, which have much
/// text in common; heartbeats are shorter.
constexpr std::size_t kDeflateThresholdBytes = 512;
constexpr std::size_t kMaxHeadBytes = 160;
/// Limit of both the sent and the inflated size of a body. ChangeHistory stores
/// less than this.
constexpr std::size_t kMaxBodyBytes = 67'108'864;
constexpr int kDeflateLevel = 3;
constexpr int kDeflateWindowBits = 15;
constexpr int kDeflateMemoryLevel = 8;

/// First line of a frame.
struct FrameHead {
  milliseconds elapsed{0};
  std::size_t size = 0;
  std::size_t inflated_size = 0;  ///< 0 if the body is not deflated.
  std::string code;               ///< Empty if absent.
};

/// @param coded Whether the line ends with a code.
FrameHead ParseFrameHead(std::string_view line, bool has_code) {
  std::string code;
  if (has_code) {
    std::size_t space = line.rfind(' ');
    if (space == std::string_view::npos) {
      throw std::runtime_error("frame head has no authentication code");
    }
    code = line.substr(space + 1);
    line = line.substr(0, space);
  }
  std::array<std::uint32_t, 3> numbers{};
  const char* at = line.data();
  const char* end = line.data() + line.size();
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    auto [stop, error] = std::from_chars(at, end, numbers[i]);
    bool last = i + 1 == numbers.size();
    if (error != std::errc() ||
        (last ? stop != end : stop == end || *stop != ' ')) {
      throw std::runtime_error("frame head is malformed");
    }
    at = stop + 1;
  }
  if (numbers[1] > kMaxBodyBytes || numbers[2] > kMaxBodyBytes) {
    throw std::runtime_error("frame body exceeds the size limit");
  }
  return {milliseconds(numbers[0]), numbers[1], numbers[2], std::move(code)};
}

zlib::z_params MakeBufferParams(const std::string& in, std::string* out) {
  zlib::z_params params;
  params.next_in = in.data();
  params.avail_in = in.size();
  params.next_out = out->data();
  params.avail_out = out->size();
  return params;
}

std::string Deflate(const std::string& plain) {
  zlib::deflate_stream stream;
  stream.reset(kDeflateLevel, kDeflateWindowBits, kDeflateMemoryLevel,
               zlib::Strategy::normal);
  std::string deflated(stream.upper_bound(plain.size()), '\0');
  zlib::z_params params = MakeBufferParams(plain, &deflated);
  boost::system::error_code error;
  stream.write(params, zlib::Flush::finish, error);
  if (error != zlib::error::end_of_stream) {
    throw std::runtime_error("frame body cannot be deflated: " +
                             error.message());
  }
  deflated.resize(params.total_out);
  return deflated;
}

std::string Inflate(const std::string& deflated, std::size_t size) {
  zlib::inflate_stream stream;
  stream.reset(kDeflateWindowBits);
  std::string plain(size, '\0');
  zlib::z_params params = MakeBufferParams(deflated, &plain);
  boost::system::error_code error;
  stream.write(params, zlib::Flush::finish, error);
  // When the output buffer is full, the end of the stream may not be read yet.
  bool ended =
      error == zlib::error::end_of_stream || error == zlib::error::need_buffers;
  if (!ended || params.total_out != size || params.avail_in > 0) {
    throw std::runtime_error(
        "frame body cannot be inflated to the stated size");
  }
  return plain;
}

constexpr std::array<ChangeKind, kChangeKinds> kKinds = {
    ChangeKind::kServers, ChangeKind::kConfiguration, ChangeKind::kCrashes,
    ChangeKind::kEvacuations};

ChangeKind ParseKind(const std::string& name) {
  for (ChangeKind kind : kKinds) {
    if (name == ChangeKindName(kind)) return kind;
  }
  throw std::runtime_error(fmt::format("unknown kind of objects \"{}\"", name));
}

ChangeUpdate DecodeUpdate(const Json& json) {
  ChangeUpdate update;
  update.kind = ParseKind(json.at("kind").get<std::string>());
  update.age = milliseconds(json.at("age").get<std::uint32_t>());
  update.delta.revision = json.at("at").get<std::uint64_t>();
  update.delta.whole = json.at("whole").get<bool>();
  // Daemons of earlier versions send no era.
  update.delta.era = json.value("era", std::uint64_t{0});
  for (const Json& entry : json.at("objects")) {
    platform::StoredObject object;
    object.name = entry.at("name").get<std::string>();
    object.revision = entry.at("revision").get<std::uint64_t>();
    object.content = entry.at("content").get<std::string>();
    object.deleted = entry.at("deleted").get<bool>();
    update.delta.objects.push_back(std::move(object));
  }
  return update;
}

}  // namespace

const char* ChangeKindName(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kServers:
      return "servers";
    case ChangeKind::kConfiguration:
      return "configuration";
    case ChangeKind::kCrashes:
      return "crashes";
    case ChangeKind::kEvacuations:
      return "evacuations";
  }
  return "";
}

std::string EncodeChangeQuery(const ChangeRevisions& known) {
  std::string query;
  for (ChangeKind kind : kKinds) {
    std::uint64_t revision = known[static_cast<std::size_t>(kind)];
    if (revision == kKindNotRequested) continue;
    query += fmt::format("{}{}={}", query.empty() ? "" : "&",
                         ChangeKindName(kind), revision);
  }
  return query;
}

std::optional<ChangeRevisions> DecodeChangeQuery(const std::string& query) {
  ChangeRevisions known{};
  std::string_view rest = query;
  for (ChangeKind kind : kKinds) {
    std::string name = std::string(ChangeKindName(kind)) + "=";
    std::uint64_t& revision = known[static_cast<std::size_t>(kind)];
    bool required = static_cast<std::size_t>(kind) < kRequiredKinds;
    if (rest.empty() && !required) {
      revision = kKindNotRequested;
      continue;
    }
    if (!rest.starts_with(name)) return std::nullopt;
    rest.remove_prefix(name.size());
    const char* end = rest.data() + rest.size();
    auto [stop, error] = std::from_chars(rest.data(), end, revision);
    if (error != std::errc()) return std::nullopt;
    rest.remove_prefix(static_cast<std::size_t>(stop - rest.data()));
    if (rest.starts_with("&")) rest.remove_prefix(1);
  }
  if (!rest.empty()) return std::nullopt;
  return known;
}

std::string EncodeChangeEras(const ChangeRevisions& eras) {
  return fmt::format("{}", fmt::join(eras, ","));
}

ChangeRevisions DecodeChangeEras(std::string_view text) {
  ChangeRevisions eras{};
  const char* at = text.data();
  const char* end = text.data() + text.size();
  for (std::uint64_t& era : eras) {
    auto [stop, error] = std::from_chars(at, end, era);
    if (error != std::errc()) return {};
    at = stop == end ? stop : stop + 1;
  }
  return eras;
}

std::string EncodeChangeBody(const std::vector<ChangeUpdate>& all) {
  Json kinds = Json::array();
  for (const ChangeUpdate& update : all) {
    Json objects = Json::array();
    for (const platform::StoredObject& object : update.delta.objects) {
      objects.push_back({{"name", object.name},
                         {"revision", object.revision},
                         {"content", object.content},
                         {"deleted", object.deleted}});
    }
    kinds.push_back({{"kind", ChangeKindName(update.kind)},
                     {"at", update.delta.revision},
                     {"age", update.age.count()},
                     {"whole", update.delta.whole},
                     {"objects", std::move(objects)}});
    if (update.delta.era > 0) kinds.back()["era"] = update.delta.era;
  }
  std::string plain = JsonText(kinds);
  if (plain.size() < kDeflateThresholdBytes) {
    return fmt::format("{} 0\n{}", plain.size(), plain);
  }
  std::string deflated = Deflate(plain);
  return fmt::format("{} {}\n{}", deflated.size(), plain.size(), deflated);
}

std::string EncodeChangeFrame(milliseconds elapsed, const std::string& body,
                              FrameCodes* codes) {
  if (codes == nullptr || !codes->enabled()) {
    return fmt::format("{} {}", elapsed.count(), body);
  }
  std::string code = codes->NextCode(elapsed, body);
  std::size_t line = body.find('\n');
  return fmt::format("{} {} {}{}", elapsed.count(), body.substr(0, line), code,
                     body.substr(line));
}

std::optional<ChangeFrameReader::Frame> ChangeFrameReader::Next() {
  std::size_t end = m_bytes.find('\n');
  if (end == std::string::npos) {
    if (m_bytes.size() > kMaxHeadBytes) {
      throw std::runtime_error("frame head exceeds the size limit");
    }
    return std::nullopt;
  }
  std::string_view bytes = m_bytes;
  FrameHead head = ParseFrameHead(bytes.substr(0, end), m_codes.enabled());
  if (m_bytes.size() - end - 1 < head.size) return std::nullopt;
  std::string body = m_bytes.substr(end + 1, head.size);
  if (m_codes.enabled()) {
    std::string signed_body =
        fmt::format("{} {}\n{}", head.size, head.inflated_size, body);
    if (!SecretsEqual(head.code, m_codes.NextCode(head.elapsed, signed_body))) {
      throw std::runtime_error("frame is not authentic");
    }
  }
  m_bytes.erase(0, end + 1 + head.size);
  if (head.inflated_size > 0) body = Inflate(body, head.inflated_size);
  try {
    Frame frame;
    frame.elapsed = head.elapsed;
    for (const Json& kind : ParseJson(body)) {
      frame.updates.push_back(DecodeUpdate(kind));
    }
    return frame;
  } catch (const Json::exception& error) {
    throw std::runtime_error(error.what());
  }
}

}  // namespace clementine
