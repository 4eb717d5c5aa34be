/* spread_state.h - the spread's tables, shared by the spread*.c files only.

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
  uint64_t heard;    /* highest version heard from it */
  uint64_t told;     /* highest version told to it */
  uint64_t asked;    /* number of the question to it, 0 never asked */
  uint64_t asked_us; /* when that was */
};

/* The one CONFIG_GET that waits for its answer.  */
struct spread_get
{
  bool waiting;
  uint32_t peer;
  uint64_t until_us;
};

/* The one SCAN that waits for its result.  */
struct spread_poll
{
  uint64_t id; /* 0 when none waits */
  uint64_t until_us;
  uint64_t next_us;
  uint32_t pause_ms; /* while no version is known: doubles up to a bound */
};

struct mq_spread
{
  const char *host;
  const char *data_centre;
  uint64_t random;
  uint64_t version;
  char *text;
  uint64_t text_hash;
  uint64_t row_version; /* highest version of the table's row seen */
  bool poller;
  uint64_t last_id;
  struct spread_poll poll;
  struct spread_get get;
  uint64_t ask_us;        /* next look for a peer to ask, 0 when none is due */
  uint64_t tell_us;       /* next group of peers to tell, 0 when none is due */
  uint32_t tell_pause_ms; /* pause before it, doubles with each group */
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
