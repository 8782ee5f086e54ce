// The messages between jobs' owners and homes, to and from their wire form.

#ifndef SRC_PROTOCOL_RUN_CODEC_H_
#define SRC_PROTOCOL_RUN_CODEC_H_

#include "runs/runs.h"

namespace jasminedyke::wire {
class run_request;
class run_cancel;
class run_report;
class home_status;
class upstream_news;
class delegated_start;
class delegated_start_result;
class drained_domains;
class crash_news;
}  // namespace jasminedyke::wire

namespace jasminedyke {

wire::run_request ToWire(const run_request& request);
wire::run_cancel ToWire(const run_cancel& cancel);
wire::run_report ToWire(const run_report& report);
wire::home_status ToWire(const home_status& status);
wire::upstream_news ToWire(const upstream_news& news);
wire::delegated_start ToWire(const delegated_start& delegated);
wire::delegated_start_result ToWire(const delegated_start_result& result);
wire::drained_domains ToWire(const drained_domains& drained);
wire::crash_news ToWire(const crash_news& news);

// Numbers that make no sense come out as the field's default.
run_request FromWire(const wire::run_request& wire);
run_cancel FromWire(const wire::run_cancel& wire);
run_report FromWire(const wire::run_report& wire);
home_status FromWire(const wire::home_status& wire);
// The sender's failure domain is left to the receiver.
upstream_news FromWire(const wire::upstream_news& wire);
delegated_start FromWire(const wire::delegated_start& wire);
delegated_start_result FromWire(const wire::delegated_start_result& wire);
drained_domains FromWire(const wire::drained_domains& wire);
crash_news FromWire(const wire::crash_news& wire);

}  // namespace jasminedyke

#endif  // SRC_PROTOCOL_RUN_CODEC_H_
