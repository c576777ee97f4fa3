// Turns control calls between nodes into JSON-RPC messages and back, by
// libjsonrpccpp. The sending is left to the caller, which must not block.
#ifndef RPC_CALL_CODEC_H_
#define RPC_CALL_CODEC_H_

#include <string>

namespace chestnutport {
namespace rpc {

// The message that calls `method`; `params` is a JSON object as text.
std::string EncodeCall(const std::string& method, const std::string& params);

// Reads the answer to a call. False if it is no answer or an error; `error`
// then says why. `result` is a JSON value as text.
bool DecodeAnswer(const std::string& method,
                  const std::string& message,
                  std::string* result,
                  std::string* error);

}  // namespace rpc
}  // namespace chestnutport

#endif  // RPC_CALL_CODEC_H_
