// The answer that tells of an error, from the one closed list of kinds.
#ifndef NET_ERROR_ANSWER_H_
#define NET_ERROR_ANSWER_H_

#include "base/error_kind.h"
#include "base/time.h"
#include "net/http_message.h"

namespace chestnutport::net {

HttpAnswer MakeErrorAnswer(base::ErrorKind kind, base::Duration retry_after);
// With the wait of the table of kinds.
HttpAnswer MakeErrorAnswer(base::ErrorKind kind);

}  // namespace chestnutport::net

#endif  // NET_ERROR_ANSWER_H_
