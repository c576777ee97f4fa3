#include "client_limits/client_refusal.h"

namespace chestnutport::client_limits {

std::string_view ToString(ClientLimit limit) {
  switch (limit) {
    case ClientLimit::kHead:
      return "head";
    case ClientLimit::kFraming:
      return "framing";
    case ClientLimit::kHeads:
      return "heads";
    case ClientLimit::kInput:
      return "input";
    case ClientLimit::kOutput:
      return "output";
    case ClientLimit::kConnections:
      return "connections";
  }
  return "unknown";
}

}  // namespace chestnutport::client_limits
