/* target_state.h - internal state of a target host's daemon; for src/target
   only.

   target.c: lifecycle, timers and actions returned by the cores.
   target_input.c: events from the network.
   Needs: target.h and the modules that it connects.  */

#ifndef MQ_TARGET_STATE_H
#define MQ_TARGET_STATE_H

#include "core/gate/gate.h"
#include "core/spread.h"
#include "daemon/batch.h"
#include "daemon/connected_hosts.h"
#include "net/peer.h"
#include "daemon/platform.h"
#include "daemon/process.h"
#include "log/spans.h"
#include "target.h"
#include "target_http.h"
#include "worker.h"

struct mq_target
{
  struct tevent_context *ev;
  const struct mq_settings *settings;
  void (*done) (void *user);
  void *user;
  uint64_t boot;
  char *http_address;
  char *peer_address;
  struct mq_http_client *client;
  struct mq_platform *platform;
  struct mq_peer_net *net;
  struct mq_target_http *http;
  struct mq_spans *spans;
  struct mq_gate *gate;
  struct mq_spread *spread;
  struct mq_worker **workers;
  uint64_t seen_version;
  struct mq_connected_hosts connected;
  struct mq_batch_queue queue;
  bool working; /* actions are being run */
  struct mq_tick_timer tick;
  bool leaving;
  bool stopping;
  uint64_t stop_until_us;
  uint64_t quiet_since_us; /* idle since, or 0 if not idle */
  uint64_t quiet_calls;    /* calls received when quiet_since_us was set */
  bool closed;             /* no longer accepts operators' connections */
  uint64_t close_until_us; /* time for requests that lie unread */
  struct tevent_immediate *stop;
};

/* Each passes INPUT to one core with the current time, and queues the
   resulting actions.  */
void mq_target_dispatch_gate (struct mq_target *target,
                              struct mq_gate_input *input);
void mq_target_dispatch_spread (struct mq_target *target,
                                struct mq_spread_input *input);
/* Runs queued actions until the queue is empty, including actions that they
   add.  */
void mq_target_run_queue (struct mq_target *target);
void mq_target_refuse_new_calls (struct mq_target *target);

struct mq_peer_callbacks mq_target_peer_callbacks (struct mq_target *target);
struct mq_worker_callbacks
mq_target_worker_callbacks (struct mq_target *target);
struct mq_operator_callbacks
mq_target_operator_callbacks (struct mq_target *target);
void mq_target_on_store_result (const struct mq_store_result *result,
                                void *user);
void mq_target_on_hosts (const struct mq_host_list *hosts, void *user);

#endif
