/* mimosaquay.h - the decisions of the scheduler, callable on plain values.

   Link with libmimosaquay.a (pkg-config mimosaquay).  Nothing here opens a
   socket, reads a clock or a file, or starts a thread: time, messages and
   results of the store come in as values, and what is to be done goes out
   as a list of actions.  Memory hangs below a talloc context.

   A machine (owner, gate, front, spread) takes one input at a time:

     mq_gate_handle (gate, &input, actions);
     for (size_t i = 0; i < actions->count; i++)
       carry_out (&actions->items[i]);
     mq_actions_clear (actions);

   and a TICK whenever its next tick is due.  The C files of examples/ show
   one idea each.  The structures are in the headers included below; the
   functions are declared again here, so that the compiler holds this sheet to
   the code. Needs: talloc.  */

#ifndef MIMOSAQUAY_H
#define MIMOSAQUAY_H

#define MIMOSAQUAY_VERSION "0.1.0"

#include "core/action.h"
#include "core/error.h"
#include "core/owner/front.h"
#include "core/gate/gate.h"
#include "core/host.h"
#include "core/id.h"
#include "core/limits.h"
#include "core/message.h"
#include "core/owner/owner.h"
#include "core/owner/place.h"
#include "core/spread.h"
#include "core/store.h"
#include "core/text/text.h"
#include "core/text/text_diff.h"
#include "core/types.h"

/* NOLINTBEGIN(readability-redundant-declaration): see above.  */

/* Errors: one table of typed failures (struct mq_error).  */

void mq_error_set (struct mq_error *error, enum mq_error_type type,
                   const char *subject,
                   const char *allowed);               /* fill in a failure */
const char *mq_error_name (enum mq_error_type type);   /* name on the wire */
const char *mq_error_cause (enum mq_error_type type);  /* what happened */
const char *mq_error_remedy (enum mq_error_type type); /* what to do */
int mq_error_http_status (enum mq_error_type type);    /* 4xx or 5xx */
enum mq_error_type mq_error_from_name (const char *name); /* NONE: unknown */
const char *mq_ran_name (enum mq_ran ran); /* not_run, ran, unknown */

/* Ids: programs, partitions, rendezvous hashing (struct mq_id).  */

struct mq_id mq_id_open (const char *organisation,
                         const char *key); /* same pair, same id */
struct mq_id mq_id_child (struct mq_id parent,
                          uint32_t call); /* sub-program, same partition */
bool mq_id_equal (struct mq_id a, struct mq_id b);          /* same program */
bool mq_id_is_zero (struct mq_id id);                       /* no program */
int mq_id_compare (struct mq_id a, struct mq_id b);         /* -1, 0 or 1 */
void mq_id_format (struct mq_id id, char text[MQ_ID_TEXT]); /* 32 digits */
bool mq_id_parse (const char *text, struct mq_id *id);      /* false: no id */
uint32_t mq_id_partition (struct mq_id id, uint32_t partitions); /* by hash */
uint64_t mq_rendezvous_weight (const char *host,
                               uint64_t key); /* highest should serve */

/* Operators' text: parse, check, look up, compare (struct mq_text).  */

struct mq_text *
mq_text_parse (TALLOC_CTX *ctx, const char *source, size_t len,
               struct mq_text_errors *errors); /* NULL: errors */
const struct mq_service *
mq_text_find_service (const struct mq_text *text,
                      const char *name); /* NULL: no such */
const struct mq_route *
mq_text_find_route (const struct mq_service *service,
                    const char *name); /* NULL: no such */
const struct mq_organisation *
mq_text_find_organisation (const struct mq_text *text,
                           const char *name); /* NULL: no such */
const struct mq_organisation *
mq_text_find_key (const struct mq_text *text,
                  const uint8_t key_hash[MQ_KEY_BYTES]); /* whose key */
bool mq_text_depends (const struct mq_text *text,
                      const struct mq_service *from,
                      const struct mq_service *on); /* FROM may call ON */
struct mq_text_diff *
mq_text_diff_create (TALLOC_CTX *ctx, const struct mq_text *before,
                     const struct mq_text *after); /* BEFORE may be NULL */
const struct mq_text_change *
mq_text_diff_refused (const struct mq_text_diff *diff); /* NULL: may apply */
char *mq_text_diff_text (TALLOC_CTX *ctx,
                         const struct mq_text_diff *diff); /* for people */
char *mq_text_diff_json (TALLOC_CTX *ctx,
                         const struct mq_text_diff *diff); /* for programs */

/* Placement: which worker a call should go to (struct mq_worker_view).  */

struct mq_place_state *mq_place_create (TALLOC_CTX *ctx,
                                        uint64_t seed); /* random by SEED */
void mq_place_destroy (struct mq_place_state *state);   /* free it */
int32_t mq_place_choose (struct mq_place_state *state, enum mq_policy policy,
                         const struct mq_worker_view *views, size_t count,
                         const struct mq_place_call *call,
                         uint64_t now_us); /* -1: none */
bool mq_policy_from_name (const char *name,
                          enum mq_policy *policy);  /* false: unknown */
const char *mq_policy_name (enum mq_policy policy); /* as in settings */

/* Actions: what a machine asks the outside to do (struct mq_action).  */

struct mq_actions *mq_actions_create (TALLOC_CTX *ctx); /* empty list */
void mq_actions_clear (struct mq_actions *actions); /* after carrying out */
struct mq_action *mq_actions_add (struct mq_actions *actions,
                                  enum mq_action_type type); /* zeroed */
void mq_message_copy (TALLOC_CTX *ctx, struct mq_message *to,
                      const struct mq_message *from);    /* deep */
const char *mq_message_name (enum mq_message_type type); /* for logs */

/* Owner: programs of the partitions of one entry host: order, history,
   budget, commits, takeover (struct mq_owner_input).  */

struct mq_owner *
mq_owner_create (TALLOC_CTX *ctx,
                 const struct mq_owner_options *options); /* below CTX */
void mq_owner_destroy (struct mq_owner *owner);           /* free it */
void mq_owner_handle (struct mq_owner *owner,
                      const struct mq_owner_input *input,
                      struct mq_actions *actions);          /* one input in */
uint64_t mq_owner_next_tick (const struct mq_owner *owner); /* microseconds */
bool mq_owner_is_drained (const struct mq_owner *owner);    /* after LEAVE */
bool
mq_owner_owns_partition (const struct mq_owner *owner,
                         uint32_t partition); /* ours, as far as it knows */
const char *mq_owner_address (const struct mq_owner *owner,
                              uint32_t partition); /* NULL: unknown */
char *mq_owner_status (TALLOC_CTX *ctx,
                       const struct mq_owner *owner); /* JSON */
const struct mq_owner_counters *
mq_owner_read_counters (const struct mq_owner *owner); /* one field each */

/* Gate: the last process before a target: fences, at most once, admission,
   order of the queue, cache leases (struct mq_gate_input).  */

struct mq_gate *
mq_gate_create (TALLOC_CTX *ctx,
                const struct mq_gate_options *options); /* below CTX */
void mq_gate_destroy (struct mq_gate *gate);            /* free it */
void mq_gate_handle (struct mq_gate *gate, const struct mq_gate_input *input,
                     struct mq_actions *actions);        /* one input in */
uint64_t mq_gate_next_tick (const struct mq_gate *gate); /* microseconds */
bool mq_gate_is_drained (const struct mq_gate *gate);    /* after LEAVE */
char *mq_gate_status (TALLOC_CTX *ctx, const struct mq_gate *gate); /* JSON */
const struct mq_gate_counters *
mq_gate_read_counters (const struct mq_gate *gate); /* one field each */

/* Front: callers' requests on their way to the partition's owner
   (struct mq_front_input).  */

struct mq_front *mq_front_create (TALLOC_CTX *ctx,
                                  const struct mq_front_lookup *lookup,
                                  uint64_t seed); /* below CTX */
void mq_front_destroy (struct mq_front *front);   /* free it */
void mq_front_handle (struct mq_front *front,
                      const struct mq_front_input *input,
                      struct mq_actions *actions);          /* one input in */
uint64_t mq_front_next_tick (const struct mq_front *front); /* microseconds */
size_t mq_front_count (const struct mq_front *front);       /* not ended */
const struct mq_front_counters *
mq_front_read_counters (const struct mq_front *front); /* one field each */

/* Spread: how an accepted configuration reaches every process
   (struct mq_spread_input).  */

struct mq_spread *mq_spread_create (TALLOC_CTX *ctx, const char *host,
                                    const char *data_centre,
                                    uint64_t seed); /* below CTX */
void mq_spread_destroy (struct mq_spread *spread);  /* free it */
void mq_spread_handle (struct mq_spread *spread,
                       const struct mq_spread_input *input,
                       struct mq_actions *actions); /* one input in */
uint64_t
mq_spread_next_tick (const struct mq_spread *spread);        /* microseconds */
uint64_t mq_spread_version (const struct mq_spread *spread); /* 0: none */
const char *mq_spread_text (const struct mq_spread *spread); /* NULL: none */
uint64_t mq_spread_peer_version (const struct mq_spread *spread,
                                 uint32_t peer); /* highest heard of it */
const struct mq_spread_counters *
mq_spread_read_counters (const struct mq_spread *spread); /* one field each */

/* NOLINTEND(readability-redundant-declaration) */

#endif
