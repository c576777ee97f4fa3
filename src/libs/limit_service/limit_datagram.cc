#include "limit_service/limit_datagram.h"

namespace chestnutport::limit_service {

std::optional<LimitDatagram> LimitDatagram::Decode(std::string_view bytes) {
  if (bytes.empty())
    return std::nullopt;
  const auto kind = static_cast<LimitDatagramKind>(bytes.front());
  switch (kind) {
    case LimitDatagramKind::kRequest:
    case LimitDatagramKind::kAnswer:
    case LimitDatagramKind::kNotice:
    case LimitDatagramKind::kInquiry:
    case LimitDatagramKind::kHandOver:
      return LimitDatagram{kind, bytes.substr(1)};
  }
  return std::nullopt;
}

std::string LimitDatagram::Encode() const {
  std::string bytes(1, static_cast<char>(kind));
  bytes.append(message);
  return bytes;
}

}  // namespace chestnutport::limit_service
