// The platform over HTTP/1.1 and JSON.

#ifndef SRC_STORE_HTTP_PLATFORM_H_
#define SRC_STORE_HTTP_PLATFORM_H_

#include <string>
#include <vector>

#include "base/base.h"
#include "http/http.h"
#include "store/table_service.h"

namespace jasminedyke {

// Sends requests over a few kept connections, in the order of the calls.
class http_platform : public table_service, public instance_directory {
 public:
  http_platform(event_loop& loop, const socket_address& address);
  ~http_platform() override;

  void Read(const std::string& table,
            const std::string& key,
            read_callback done) override;
  void Write(const std::vector<table_write>& writes,
             write_callback done) override;
  void List(membership_version known, list_callback done) override;

 private:
  void WriteOne(const table_write& write, write_callback done);
  void WriteAll(const std::vector<table_write>& writes, write_callback done);

  http_call_queue calls_;
};

}  // namespace jasminedyke

#endif  // SRC_STORE_HTTP_PLATFORM_H_
