/* router_counters.h - counters of the router, shown on the metrics address. */

#ifndef MQ_ROUTER_COUNTERS_H
#define MQ_ROUTER_COUNTERS_H

#include <stdint.h>

/* Counters of the router: name and help.  */
#define MQ_ROUTER_COUNTERS(X)                                                 \
  X (requests, "requests read from callers")                                  \
  X (served, "answers of workers passed on whole")                            \
  X (refused, "final answers that state: not run")                            \
  X (programs_refused, "programs that were not taken on")                     \
  X (failed, "final answers of our own after a worker may have run")          \
  X (broken, "answers that broke off after their beginning")                  \
  X (left, "requests whose caller left first")                                \
  X (callers_closed, "idle connections of callers closed to make room")       \
  X (unanswered, "requests cut off by this host before their final answer")   \
  X (retries, "further workers asked for a request")                          \
  X (loads_invalid, "loads told by workers that are not valid")               \
  X (doubtful_avoided, "requests kept from workers that owe an answer")       \
  X (evidence_sent, "reports of workers sent to other hosts")                 \
  X (evidence_received, "reports of workers that other hosts sent")           \
  X (evidence_old, "of them  ignored, older than the last of their host")     \
  X (evidence_cut_off, "of them ignored, their host doubts most workers")     \
  X (evidence_invalid, "of them ignored, with figures out of range")          \
  X (run_ends, "workers that ended under a request known here")               \
  X (run_ends_alive, "broken connections whose worker had not ended")         \
  X (run_end_checks, "health checks of such workers")                         \
  X (run_end_writes, "rows of ended runs written or removed")                 \
  X (run_ends_sent, "reports of ended runs sent to other hosts")              \
  X (run_ends_received, "ended runs that other hosts told")                   \
  X (run_ends_invalid, "of them ignored, with figures out of range")          \
  X (rejected, "requests refused since workers ended under them")             \
  X (unsettled, "requests refused until ends under them are settled")         \
  X (resumed, "streams that went on at another worker")                       \
  X (streams_taken_up, "streams that callers resumed")                        \
  X (streams_refused, "of them refused, their version unknown or gone")       \
  X (streams_unrecorded,                                                      \
     "new streams refused, no row could tell their version")                  \
  X (stream_writes, "rows of streams written")                                \
  X (stream_reads, "rows of streams read")                                    \
  X (budget_writes, "records of programs written")                            \
  X (turn_writes, "records of turns written")                                 \
  X (turn_reads, "records of turns read")                                     \
  X (loans_asked, "turns that asked other hosts for tokens or a history")     \
  X (loans_given, "answers to such a question that gave something")           \
  X (turns_lent, "turns that began with tokens or a history of other hosts")  \
  X (tokens_issued, "turns that got tokens which no record counts yet")       \
  X (leases_handed_over, "leases handed to another host in an outage")        \
  X (leases_taken_over, "leases that other hosts handed over")                \
  X (leases_refused, "of them not taken, with a newer row or unreadable")     \
  X (issue_refused,                                                           \
     "of programs of this host's leases, that might have got some before")    \
  X (handovers, "times a program's state was sent to its cache host")         \
  X (permits_used, "requests sent under a limit of their organisation")       \
  X (permits_asked, "questions to hosts that issue permits")                  \
  X (permits_issued, "permits issued to hosts")                               \
  X (permits_alone, "permits of a standing rate, the issuer being away")      \
  X (over_limit, "requests refused over a limit of their organisation")       \
  X (limit_begun,                                                             \
     "turns of begun programs taken for first ones at the limit")             \
  X (limit_unknown, "requests refused, nobody issuing permits")               \
  X (records_removed, "records of programs and turns removed")                \
  X (config_changes, "configurations taken into force")                       \
  X (worker_changes, "changes of the list of workers")

struct mq_router_counters
{
#define MQ_ROUTER_COUNTER(name, help) uint64_t name;
  MQ_ROUTER_COUNTERS (MQ_ROUTER_COUNTER)
#undef MQ_ROUTER_COUNTER
};

#endif
