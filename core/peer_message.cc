// CBOR with nlohmann's codec. Small records are encoded as arrays, because
// repeated key names would be most of the encoded bytes.

#include "core/peer_message.h"

#include <nlohmann/json.hpp>

#include "fmt/format.h"

namespace clementine {
namespace {

using Json = nlohmann::json;

constexpr int kProtocolVersion = 1;

Json PeerToJson(const PeerInfo& peer) {
  return Json::array(
      {peer.node, peer.data_centre, peer.peer_address, peer.incarnation});
}

PeerInfo PeerFromJson(const Json& value) {
  PeerInfo peer;
  value.at(0).get_to(peer.node);
  value.at(1).get_to(peer.data_centre);
  value.at(2).get_to(peer.peer_address);
  value.at(3).get_to(peer.incarnation);
  return peer;
}

Json MemberToJson(const MemberUpdate& update) {
  return Json::array({PeerToJson(update.peer), update.refutation,
                      static_cast<int>(update.state)});
}

MemberUpdate MemberFromJson(const Json& value) {
  MemberUpdate update;
  update.peer = PeerFromJson(value.at(0));
  value.at(1).get_to(update.refutation);
  int state = value.at(2).get<int>();
  if (state < 0 || state > static_cast<int>(MemberState::kDead)) {
    throw PeerMessageError(fmt::format("unknown member state {}", state));
  }
  update.state = static_cast<MemberState>(state);
  return update;
}

Json PresenceToJson(const PresenceUpdate& update) {
  return Json::array({update.reporter, update.sequence, update.host,
                      update.group, update.epoch, update.present,
                      update.leaving, update.adapters, update.info.data_centre,
                      update.info.fabric_domain, update.info.address,
                      update.info.accelerators, update.info.engine});
}

PresenceUpdate PresenceFromJson(const Json& value) {
  PresenceUpdate update;
  value.at(0).get_to(update.reporter);
  value.at(1).get_to(update.sequence);
  value.at(2).get_to(update.host);
  value.at(3).get_to(update.group);
  value.at(4).get_to(update.epoch);
  value.at(5).get_to(update.present);
  value.at(6).get_to(update.leaving);
  value.at(7).get_to(update.adapters);
  update.info.host = update.host;
  value.at(8).get_to(update.info.data_centre);
  value.at(9).get_to(update.info.fabric_domain);
  value.at(10).get_to(update.info.address);
  value.at(11).get_to(update.info.accelerators);
  value.at(12).get_to(update.info.engine);
  return update;
}

Json QuarantineToJson(const QuarantineUpdate& update) {
  return Json::array({update.digest, update.remaining.count()});
}

QuarantineUpdate QuarantineFromJson(const Json& value) {
  QuarantineUpdate update;
  value.at(0).get_to(update.digest);
  update.remaining = milliseconds(value.at(1).get<std::int64_t>());
  return update;
}

Json PullToJson(const ConfigPull& pull) {
  return Json::array({pull.generation, pull.head_digest, pull.sections});
}

ConfigPull PullFromJson(const Json& value) {
  ConfigPull pull;
  value.at(0).get_to(pull.generation);
  value.at(1).get_to(pull.head_digest);
  value.at(2).get_to(pull.sections);
  return pull;
}

Json DeltaToJson(const ConfigDelta& delta) {
  return Json::array({delta.base, delta.head.generation, delta.head.apply_id,
                      delta.head.author, delta.head.sections, delta.removed,
                      delta.head_digest, delta.texts});
}

ConfigDelta DeltaFromJson(const Json& value) {
  ConfigDelta delta;
  value.at(0).get_to(delta.base);
  value.at(1).get_to(delta.head.generation);
  value.at(2).get_to(delta.head.apply_id);
  value.at(3).get_to(delta.head.author);
  value.at(4).get_to(delta.head.sections);
  value.at(5).get_to(delta.removed);
  value.at(6).get_to(delta.head_digest);
  value.at(7).get_to(delta.texts);
  return delta;
}

template <typename T, typename Convert>
void AddList(Json* out, const char* key, const std::vector<T>& items,
             Convert convert) {
  if (items.empty()) return;
  Json list = Json::array();
  for (const T& item : items) list.push_back(convert(item));
  (*out)[key] = std::move(list);
}

template <typename T, typename Convert>
void ReadList(const Json& in, const char* key, std::vector<T>* items,
              Convert convert) {
  auto found = in.find(key);
  if (found == in.end()) return;
  for (const Json& item : *found) items->push_back(convert(item));
}

PeerMessage FromJson(const Json& value) {
  int version = value.at("v").get<int>();
  if (version != kProtocolVersion) {
    throw PeerMessageError(
        fmt::format("unknown peer message version {}", version));
  }
  int kind = value.at("k").get<int>();
  if (kind < 0 || kind > static_cast<int>(PeerMessageKind::kPlacement)) {
    throw PeerMessageError(fmt::format("unknown peer message kind {}", kind));
  }
  PeerMessage message;
  message.kind = static_cast<PeerMessageKind>(kind);
  message.sender = PeerFromJson(value.at("f"));
  value.at("s").get_to(message.sequence);
  message.generation = value.value("g", std::uint64_t{0});
  message.head_digest = value.value("d", std::string());
  message.members_digest = value.value("h", std::uint64_t{0});
  message.want_members = value.value("w", false);
  message.want_presence = value.value("wp", false);
  message.presence_digest = value.value("i", std::uint64_t{0});
  message.placement_version = value.value("pv", std::uint64_t{0});
  message.store_era = value.value("e", std::uint64_t{0});
  if (value.contains("c")) {
    value.at("c").at(0).get_to(message.coordinator.node);
    value.at("c").at(1).get_to(message.coordinator.fence);
  }
  if (value.contains("pl")) {
    value.at("pl").at(0).get_to(message.placement.version);
    value.at("pl").at(1).get_to(message.placement.value);
  }
  if (value.contains("t")) message.target = PeerFromJson(value.at("t"));
  ReadList(value, "m", &message.members, MemberFromJson);
  ReadList(value, "p", &message.presence, PresenceFromJson);
  ReadList(value, "q", &message.quarantine, QuarantineFromJson);
  if (value.contains("cp")) message.pull = PullFromJson(value.at("cp"));
  if (value.contains("cd")) message.delta = DeltaFromJson(value.at("cd"));
  return message;
}

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  Json out = {{"v", kProtocolVersion},
              {"k", static_cast<int>(message.kind)},
              {"f", PeerToJson(message.sender)},
              {"s", message.sequence}};
  if (message.generation > 0) {
    out["g"] = message.generation;
    out["d"] = message.head_digest;
  }
  if (message.members_digest != 0) out["h"] = message.members_digest;
  if (message.want_members) out["w"] = true;
  if (message.want_presence) out["wp"] = true;
  if (message.presence_digest != 0) out["i"] = message.presence_digest;
  if (message.placement_version != 0) out["pv"] = message.placement_version;
  if (message.store_era != 0) out["e"] = message.store_era;
  if (message.coordinator.fence != 0) {
    out["c"] =
        Json::array({message.coordinator.node, message.coordinator.fence});
  }
  if (message.kind == PeerMessageKind::kPlacement) {
    out["pl"] =
        Json::array({message.placement.version, message.placement.value});
  }
  if (!message.target.node.empty()) out["t"] = PeerToJson(message.target);
  AddList(&out, "m", message.members, MemberToJson);
  AddList(&out, "p", message.presence, PresenceToJson);
  AddList(&out, "q", message.quarantine, QuarantineToJson);
  if (message.kind == PeerMessageKind::kConfigPull) {
    out["cp"] = PullToJson(message.pull);
  }
  if (message.kind == PeerMessageKind::kConfigDelta) {
    out["cd"] = DeltaToJson(message.delta);
  }
  std::vector<std::uint8_t> bytes = Json::to_cbor(out);
  return std::string(bytes.begin(), bytes.end());
}

PeerMessage DecodePeerMessage(const std::string& bytes) {
  if (bytes.size() > kMaxPeerMessageBytes) {
    throw PeerMessageError(
        fmt::format("peer message of {} bytes exceeds the limit of {}",
                    bytes.size(), kMaxPeerMessageBytes));
  }
  try {
    return FromJson(Json::from_cbor(bytes));
  } catch (const Json::exception& error) {
    throw PeerMessageError(
        fmt::format("damaged peer message: {}", error.what()));
  }
}

}  // namespace clementine
