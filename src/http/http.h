// Public header of the http library: client connections and a server, both
// by evhttp.

#ifndef SRC_HTTP_HTTP_H_
#define SRC_HTTP_HTTP_H_

#include "http/http_call_queue.h"
#include "http/http_connection.h"
#include "http/http_server.h"
#include "http/http_types.h"
#include "http/outgoing_port.h"
#include "http/server_socket.h"

#endif  // SRC_HTTP_HTTP_H_
