#include "net/beast_messages.h"

#include "base/text.h"

namespace chestnutport::net {

bool IsFraming(std::string_view name) {
  return base::EqualsIgnoreCase(name, "Content-Length") ||
         base::EqualsIgnoreCase(name, "Transfer-Encoding");
}

}  // namespace chestnutport::net
