/* mimosaquay.h - public interface of the scheduler's decision logic.

   Link with libmimosaquay.a (pkg-config mimosaquay).  The library performs no
   I/O, reads no clock and starts no threads: the caller passes in the time,
   received messages and store results, and receives a list of actions to
   execute.  Memory belongs to a talloc context.

   A state machine (owner, gate, front, spread) handles one input at a time:

     mq_gate_handle (gate, &input, actions);
     for (size_t i = 0; i < actions->count; i++)
       execute (&actions->items[i]);
     mq_actions_clear (actions);

   It also needs a TICK input at the time its next_tick function returns.
   See examples/ for complete programs.  The structures are defined in the
   headers included below; their functions are declared again here so that the
   compiler reports any mismatch.  Needs: talloc.  */

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

/* NOLINTBEGIN(readability-redundant-declaration): redeclared on purpose.  */

/* Errors: error types and their descriptions (struct mq_error).  */

void mq_error_set (struct mq_error *error, enum mq_error_type type,
                   const char *subject, const char *allowed);
const char *mq_error_name (enum mq_error_type type);   /* name on the wire */
const char *mq_error_cause (enum mq_error_type type);  /* description */
const char *mq_error_remedy (enum mq_error_type type); /* suggested fix */
int mq_error_http_status (enum mq_error_type type);    /* 4xx or 5xx */
enum mq_error_type mq_error_from_name (const char *name); /* NONE if unknown */
const char *mq_ran_name (enum mq_ran ran); /* not_run, ran, unknown */

/* Program ids, partitions and rendezvous hashing (struct mq_id).  */

struct mq_id mq_id_open (const char *organisation,
                         const char *key); /* deterministic */
struct mq_id
mq_id_child (struct mq_id parent,
             uint32_t call); /* sub-program in the same partition */
bool mq_id_equal (struct mq_id a, struct mq_id b);
bool mq_id_is_zero (struct mq_id id);                       /* unset */
int mq_id_compare (struct mq_id a, struct mq_id b);         /* -1, 0 or 1 */
void mq_id_format (struct mq_id id, char text[MQ_ID_TEXT]); /* 32 hex digits */
bool mq_id_parse (const char *text, struct mq_id *id); /* false if malformed */
uint32_t mq_id_partition (struct mq_id id, uint32_t partitions);
uint64_t mq_rendezvous_weight (const char *host,
                               uint64_t key); /* highest weight wins */

/* Configuration text: parse, validate, look up, compare (struct mq_text).  */

struct mq_text *
mq_text_parse (TALLOC_CTX *ctx, const char *source, size_t len,
               struct mq_text_errors *errors); /* NULL on error */
const struct mq_service *
mq_text_find_service (const struct mq_text *text,
                      const char *name); /* NULL if not found */
const struct mq_route *
mq_text_find_route (const struct mq_service *service,
                    const char *name); /* NULL if not found */
const struct mq_organisation *
mq_text_find_organisation (const struct mq_text *text,
                           const char *name); /* NULL if not found */
const struct mq_organisation *
mq_text_find_key (const struct mq_text *text,
                  const uint8_t key_hash[MQ_KEY_BYTES]); /* NULL if unknown */
bool mq_text_depends (const struct mq_text *text,
                      const struct mq_service *from,
                      const struct mq_service *on); /* FROM may call ON */
struct mq_text_diff *
mq_text_diff_create (TALLOC_CTX *ctx, const struct mq_text *before,
                     const struct mq_text *after); /* BEFORE may be NULL */
const struct mq_text_change *mq_text_diff_refused (
    const struct mq_text_diff *diff); /* first rejected change; NULL if none */
char *mq_text_diff_text (TALLOC_CTX *ctx,
                         const struct mq_text_diff *diff); /* human-readable */
char *
mq_text_diff_json (TALLOC_CTX *ctx,
                   const struct mq_text_diff *diff); /* machine-readable */

/* Placement: selects the worker for a call (struct mq_worker_view).  */

struct mq_place_state *
mq_place_create (TALLOC_CTX *ctx,
                 uint64_t seed); /* seeds the random generator */
void mq_place_destroy (struct mq_place_state *state);
int32_t mq_place_choose (struct mq_place_state *state, enum mq_policy policy,
                         const struct mq_worker_view *views, size_t count,
                         const struct mq_place_call *call,
                         uint64_t now_us); /* index into VIEWS; -1 if none */
bool mq_policy_from_name (const char *name,
                          enum mq_policy *policy);  /* false if unknown */
const char *mq_policy_name (enum mq_policy policy); /* as in configuration */

/* Actions that a state machine asks its caller to execute
   (struct mq_action).  */

struct mq_actions *mq_actions_create (TALLOC_CTX *ctx);
void mq_actions_clear (struct mq_actions *actions); /* call after execution */
struct mq_action *
mq_actions_add (struct mq_actions *actions,
                enum mq_action_type type); /* appends a zeroed action */
void mq_message_copy (TALLOC_CTX *ctx, struct mq_message *to,
                      const struct mq_message *from);    /* deep copy */
const char *mq_message_name (enum mq_message_type type); /* for logs */

/* Owner: manages the programs of the partitions that one entry host owns:
   ordering, history, budgets, commits and takeover (struct mq_owner_input). */

struct mq_owner *mq_owner_create (TALLOC_CTX *ctx,
                                  const struct mq_owner_options *options);
void mq_owner_destroy (struct mq_owner *owner);
void mq_owner_handle (struct mq_owner *owner,
                      const struct mq_owner_input *input,
                      struct mq_actions *actions);
uint64_t mq_owner_next_tick (const struct mq_owner *owner); /* in us */
bool mq_owner_is_drained (
    const struct mq_owner *owner); /* all work finished after LEAVE */
bool mq_owner_owns_partition (
    const struct mq_owner *owner,
    uint32_t partition); /* owned by this host, by its own view */
const char *mq_owner_address (const struct mq_owner *owner,
                              uint32_t partition); /* NULL if unknown */
char *mq_owner_status (TALLOC_CTX *ctx,
                       const struct mq_owner *owner); /* JSON */
const struct mq_owner_counters *
mq_owner_read_counters (const struct mq_owner *owner);

/* Gate: admits calls to the targets of one host: fencing, at-most-once
   execution, queueing and cache leases (struct mq_gate_input).  */

struct mq_gate *mq_gate_create (TALLOC_CTX *ctx,
                                const struct mq_gate_options *options);
void mq_gate_destroy (struct mq_gate *gate);
void mq_gate_handle (struct mq_gate *gate, const struct mq_gate_input *input,
                     struct mq_actions *actions);
uint64_t mq_gate_next_tick (const struct mq_gate *gate); /* in us */
bool mq_gate_is_drained (
    const struct mq_gate *gate); /* all work finished after LEAVE */
char *mq_gate_status (TALLOC_CTX *ctx, const struct mq_gate *gate); /* JSON */
const struct mq_gate_counters *
mq_gate_read_counters (const struct mq_gate *gate);

/* Front: forwards client requests to the owner of their partition
   (struct mq_front_input).  */

struct mq_front *mq_front_create (TALLOC_CTX *ctx,
                                  const struct mq_front_lookup *lookup,
                                  uint64_t seed);
void mq_front_destroy (struct mq_front *front);
void mq_front_handle (struct mq_front *front,
                      const struct mq_front_input *input,
                      struct mq_actions *actions);
uint64_t mq_front_next_tick (const struct mq_front *front); /* in us */
size_t mq_front_count (const struct mq_front *front);       /* open requests */
const struct mq_front_counters *
mq_front_read_counters (const struct mq_front *front);

/* Spread: distributes the accepted configuration to every process
   (struct mq_spread_input).  */

struct mq_spread *mq_spread_create (TALLOC_CTX *ctx, const char *host,
                                    const char *data_centre, uint64_t seed);
void mq_spread_destroy (struct mq_spread *spread);
void mq_spread_handle (struct mq_spread *spread,
                       const struct mq_spread_input *input,
                       struct mq_actions *actions);
uint64_t mq_spread_next_tick (const struct mq_spread *spread); /* in us */
uint64_t mq_spread_version (const struct mq_spread *spread);   /* 0 if none */
const char *mq_spread_text (const struct mq_spread *spread); /* NULL if none */
uint64_t
mq_spread_peer_version (const struct mq_spread *spread,
                        uint32_t peer); /* highest version reported by PEER */
const struct mq_spread_counters *
mq_spread_read_counters (const struct mq_spread *spread);

/* NOLINTEND(readability-redundant-declaration) */

#endif
