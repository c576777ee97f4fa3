// What a server says of its own load.
#ifndef WIRE_SERVER_LOAD_H_
#define WIRE_SERVER_LOAD_H_

namespace chestnutport::wire {

struct ServerLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // How many times longer than usual work takes on its VM at this moment.
  double slowness = 1;
};

}  // namespace chestnutport::wire

#endif  // WIRE_SERVER_LOAD_H_
