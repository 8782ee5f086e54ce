// The port that the kernel gives to an outgoing connection.

#ifndef SRC_HTTP_OUTGOING_PORT_H_
#define SRC_HTTP_OUTGOING_PORT_H_

namespace jasminedyke {

// From now on a `server_socket` on this machine may listen on the port of the
// connection of `descriptor`, beside it and after its end. Otherwise the port
// is taken for as long as the connection lives, and for a minute after.
void LendPort(int descriptor);

// A non-blocking TCP socket that lends its port; -1 if there is none to be had.
int MakeOutgoingSocket();

}  // namespace jasminedyke

#endif  // SRC_HTTP_OUTGOING_PORT_H_
