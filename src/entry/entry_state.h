/* entry_state.h - internal state of an entry host's daemon; for src/entry
   only.

   entry.c: lifecycle and timers.  entry_input.c: events from the network.
   entry_action.c: actions returned by the cores.
   Needs: entry.h and the modules that it connects.  */

#ifndef MQ_ENTRY_STATE_H
#define MQ_ENTRY_STATE_H

#include "core/owner/front.h"
#include "core/owner/owner.h"
#include "core/spread.h"
#include "api.h"
#include "daemon/batch.h"
#include "entry.h"
#include "config_wait.h"
#include "daemon/connected_hosts.h"
#include "net/peer.h"
#include "daemon/platform.h"
#include "daemon/process.h"
#include "log/spans.h"

/* The core that returned a list of actions.  An EVENT action of the owner
   goes to the front, one of the front goes to the caller.  */
enum mq_entry_origin
{
  MQ_FROM_OWNER,
  MQ_FROM_FRONT,
  MQ_FROM_SPREAD
};

struct mq_entry
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
  struct mq_api *api;
  struct mq_spans *spans;
  struct mq_owner *owner;
  struct mq_front *front;
  struct mq_spread *spread;
  struct mq_config_wait *config_wait;
  struct mq_text *text;
  uint64_t seen_version; /* version of the last configuration processed */
  uint64_t texts_refused;
  struct mq_connected_hosts connected;
  struct mq_batch_queue queue;
  bool working; /* actions are being run */
  struct mq_tick_timer tick;
  bool leaving;
  uint64_t refuse_at_us; /* requests that wait until then are refused */
  uint64_t stop_at_us;   /* the process ends then; 0: not refused yet */
  bool closed;           /* no longer accepts callers' connections */
  struct tevent_immediate *stop;
};

/* Each passes INPUT to one core with the current time, and queues the
   resulting actions.  */
void mq_entry_dispatch_owner (struct mq_entry *entry,
                              struct mq_owner_input *input);
void mq_entry_dispatch_front (struct mq_entry *entry,
                              struct mq_front_input *input);
void mq_entry_dispatch_spread (struct mq_entry *entry,
                               struct mq_spread_input *input);
void mq_entry_run_action (struct mq_entry *entry, enum mq_entry_origin origin,
                          const struct mq_action *action);
/* Applies the latest configuration if it is newer than the active one.  */
void mq_entry_update_config (struct mq_entry *entry);
/* Runs queued actions until the queue is empty, including actions that they
   add.  */
void mq_entry_run_queue (struct mq_entry *entry);

struct mq_peer_callbacks mq_entry_peer_callbacks (struct mq_entry *entry);
struct mq_api_callbacks mq_entry_api_callbacks (struct mq_entry *entry);
void mq_entry_on_store_result (const struct mq_store_result *result,
                               void *user);
void mq_entry_on_hosts (const struct mq_host_list *hosts, void *user);
/* Passes on requests whose configuration version has arrived.  */
void mq_entry_release_waiting (struct mq_entry *entry);

#endif
