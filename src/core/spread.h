/* spread.h - how a configuration reaches every process within seconds.

   A few processes of each data centre poll the table; the rest hear from
   their peers and poll rarely.  Versions only rise.  Pure, like owner.h.
   Needs: action.h, host.h.  */

#ifndef MQ_SPREAD_H
#define MQ_SPREAD_H

#include "action.h"
#include "host.h"

struct mq_spread;

/* Key of the table row that holds the accepted configuration: 8 bytes of
   version, big endian, 16 bytes of apply id, then the text.  */
#define MQ_CONFIG_KEY "config"
#define MQ_CONFIG_HEADER 24

/* Set in the ids of all its store requests, so that a process which has
   another asker of the store can tell the results apart.  */
#define MQ_SPREAD_STORE_BIT (1ULL << 63)

enum mq_spread_input_type
{
  MQ_SPREAD_TICK,
  MQ_SPREAD_HOSTS,
  MQ_SPREAD_PEER_UP,
  MQ_SPREAD_PEER_DOWN,
  MQ_SPREAD_MESSAGE, /* any message: its config_version counts */
  MQ_SPREAD_STORE
};

struct mq_spread_input
{
  enum mq_spread_input_type type;
  uint64_t now_us;
  uint32_t peer;
  union
  {
    const struct mq_host_list *hosts;
    const struct mq_message *message;
    const struct mq_store_result *store;
  } u;
};

struct mq_spread *mq_spread_create (TALLOC_CTX *ctx, const char *host,
                                    const char *data_centre, uint64_t seed);
void mq_spread_destroy (struct mq_spread *spread);
void mq_spread_handle (struct mq_spread *spread,
                       const struct mq_spread_input *input,
                       struct mq_actions *actions);
uint64_t mq_spread_next_tick (const struct mq_spread *spread);
/* Version in force here, 0 when none yet.  */
uint64_t mq_spread_version (const struct mq_spread *spread);
/* Its text, borrowed until the version rises; NULL when none yet.  */
const char *mq_spread_text (const struct mq_spread *spread);
/* Highest version heard from PEER, 0 when nothing was heard.  */
uint64_t mq_spread_peer_version (const struct mq_spread *spread,
                                 uint32_t peer);

/* Counters, one name each, read by the daemon.  */
#define MQ_SPREAD_COUNTER_LIST(X)                                             \
  X (rises, "versions taken into force")                                      \
  X (polls, "reads of the table's row")                                       \
  X (polls_failed, "reads that gave no answer")                               \
  X (rows_bad, "rows that can't be a configuration")                          \
  X (rows_not_rising, "rows written later with a version that did not rise")  \
  X (gets_sent, "peers asked for their text")                                 \
  X (gets_timed_out, "peers that did not answer")                             \
  X (haves_sent, "peers told of a version")                                   \
  X (texts_sent, "texts given to peers")                                      \
  X (texts_dropped, "texts of peers that did not raise the version")          \
  X (texts_bad, "texts of peers that are empty or over the bound")            \
  X (texts_conflicting, "second texts met under one version; must stay 0")

struct mq_spread_counters
{
#define MQ_COUNTER_FIELD(name, help) uint64_t name;
  MQ_SPREAD_COUNTER_LIST (MQ_COUNTER_FIELD)
#undef MQ_COUNTER_FIELD
};

const struct mq_spread_counters *
mq_spread_read_counters (const struct mq_spread *spread);

#endif
