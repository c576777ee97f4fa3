// The result of an attempt that was handed to the server.
#ifndef ADMISSION_SERVER_RESULT_H_
#define ADMISSION_SERVER_RESULT_H_

namespace chestnutport::admission {

enum class ServerResult {
  kAnswered,   // The complete answer was received.
  kShed,       // The server rejected the request without running it.
  kNotSent,    // Nothing of the request was sent to the server.
  kUncertain,  // Connection lost, timed out or cancelled: it may have run.
};

}  // namespace chestnutport::admission

#endif  // ADMISSION_SERVER_RESULT_H_
