/* spread.h - distribution of the configuration to every process.

   A few hosts of each data centre poll the table often; the others receive
   the configuration from peers and poll rarely.  The accepted version never
   decreases.  No I/O: inputs go in, actions come out, as in owner.h.
   Needs: action.h, host.h.  */

#ifndef MQ_SPREAD_H
#define MQ_SPREAD_H

#include "action.h"
#include "host.h"

struct mq_spread;

/* Key of the table row with the accepted configuration.  Its value is an
   8-byte big-endian version, a 16-byte apply id and the text.  */
#define MQ_CONFIG_KEY "config"
#define MQ_CONFIG_HEADER 24

/* Set in the ids of all store requests made here, so that their results can
   be told from those of other modules in the process.  */
#define MQ_SPREAD_STORE_BIT (1ULL << 63)

enum mq_spread_input_type
{
  MQ_SPREAD_TICK,
  MQ_SPREAD_HOSTS,
  MQ_SPREAD_PEER_UP,
  MQ_SPREAD_PEER_DOWN,
  MQ_SPREAD_MESSAGE, /* any type; config_version is read */
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
/* Accepted version, 0 if none.  */
uint64_t mq_spread_version (const struct mq_spread *spread);
/* Accepted text, valid until the next version is accepted; NULL if none.  */
const char *mq_spread_text (const struct mq_spread *spread);
/* Highest version reported by PEER, 0 if none.  */
uint64_t mq_spread_peer_version (const struct mq_spread *spread,
                                 uint32_t peer);

/* X (field, help text)  */
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
