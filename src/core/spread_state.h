/* spread_state.h - internal state, shared by the spread*.c files only.

   Needs: spread.h.  */

#ifndef MQ_SPREAD_STATE_H
#define MQ_SPREAD_STATE_H

#include "spread.h"

enum
{
  US_PER_MS = 1000,
  APPLY_ID_OFFSET = 8
};

struct spread_peer
{
  uint32_t peer;
  uint64_t heard;    /* highest version it reported */
  uint64_t told;     /* highest version sent to it */
  uint64_t asked;    /* sequence number of the last GET, 0 if none */
  uint64_t asked_us; /* time of the last GET */
};

/* The pending CONFIG_GET; at most one.  */
struct spread_get
{
  bool waiting;
  uint32_t peer;
  uint64_t until_us;
};

/* The pending SCAN of the table; at most one.  */
struct spread_poll
{
  uint64_t id; /* 0 if none is pending */
  uint64_t until_us;
  uint64_t next_us;
  uint32_t pause_ms; /* backoff while no version is known */
};

struct mq_spread
{
  const char *host;
  const char *data_centre;
  uint64_t random;
  uint64_t version;
  char *text;
  uint64_t text_hash;
  uint64_t row_version; /* highest row version read from the table */
  bool poller;
  uint64_t last_id;
  struct spread_poll poll;
  struct spread_get get;
  uint64_t ask_us;           /* next attempt to query a peer, 0 if none */
  uint64_t tell_us;          /* next group to notify, 0 if none */
  uint32_t tell_pause_ms;    /* interval before the next group, doubles */
  struct spread_peer *peers; /* sorted by handle */
  size_t peer_count;
  size_t peer_room;
  struct mq_spread_counters counters;
};

/* spread.c */

uint64_t spread_jittered_time (struct mq_spread *spread, uint64_t now_us,
                               uint32_t ms);
bool spread_adopt_config (struct mq_spread *spread, uint64_t version,
                          const char *text, size_t len,
                          struct mq_actions *actions);
void spread_on_new_config (struct mq_spread *spread, uint64_t now_us,
                           struct mq_actions *actions);

/* spread_table.c */

void spread_poll_table (struct mq_spread *spread, uint64_t now_us,
                        struct mq_actions *actions);
void spread_handle_store (struct mq_spread *spread,
                          const struct mq_spread_input *input,
                          struct mq_actions *actions);

#endif
