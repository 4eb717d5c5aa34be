/* owner_parts.h - internal functions of the partition owner.

   Function names begin with the part of the file name after "owner_":

   owner.c                                     inputs, timers, status
   owner_request.c, _open.c, _drive.c          requests of callers
   owner_chain.c, _end.c, _budget.c, _evict.c  programs
   owner_calls.c, _place.c, _settle.c          attempts of calls
   owner_take.c, _read.c, _tick.c, _rows.c     partitions, takeover
   owner_log.c, _durable.c                     commits
   owner_events.c                              events to callers
   owner_hosts.c, _peers.c                     targets and other entry hosts
   Needs: owner_state.h.  */

#ifndef MQ_OWNER_PARTS_H
#define MQ_OWNER_PARTS_H

#include "owner_state.h"

/* owner.c */

uint64_t owner_new_id (struct mq_owner *owner);
void owner_state (struct mq_owner *owner, enum mq_state_change change,
                  uint64_t number, const char *subject);
void owner_record_span (struct mq_owner *owner, const struct running *running,
                        const char *name, uint32_t call, uint64_t start_us,
                        enum mq_error_type error);
void owner_set_timer (struct mq_owner *owner, struct running *running,
                      uint64_t when_us);
struct mq_store_request *owner_add_store_request (struct mq_owner *owner,
                                                  enum mq_store_kind kind,
                                                  uint64_t id);
uint32_t owner_jitter_ms (struct mq_owner *owner, uint32_t base_ms,
                          uint32_t tries, uint32_t most_ms);

/* owner_hosts.c */

void hosts_listed (struct mq_owner *owner, const struct mq_host_list *hosts);
void hosts_on_peer_up (struct mq_owner *owner, uint32_t peer, const char *host,
                       enum mq_host_role role, uint64_t boot);
void hosts_on_peer_down (struct mq_owner *owner, uint32_t peer);
void hosts_on_load (struct mq_owner *owner, struct target *target,
                    const struct mq_load_msg *load);
void hosts_expire_former_runs (struct mq_owner *owner);
void hosts_on_target_usable (struct mq_owner *owner, struct target *target);
void hosts_tick (struct mq_owner *owner);
struct target *hosts_find_target (struct mq_owner *owner, uint32_t peer);
struct target *hosts_get_target (struct mq_owner *owner, const char *host);
struct sibling *hosts_get_sibling (struct mq_owner *owner, const char *host,
                                   bool create);
struct pool *hosts_get_pool (struct mq_owner *owner, const char *service);
struct mq_worker_view *hosts_worker_view (struct mq_owner *owner,
                                          struct target *target,
                                          uint32_t worker);
void hosts_send (struct mq_owner *owner, struct target *target,
                 const struct mq_message *message);

/* owner_peers.c */

bool peers_is_renewing (const struct mq_owner *owner,
                        const struct sibling *sibling);
void peers_update_eligible (struct mq_owner *owner);
void peers_count_owned (struct mq_owner *owner);
uint32_t peers_count_own (const struct mq_owner *owner);
uint32_t peers_fair_share (const struct mq_owner *owner);
uint32_t peers_own_rank (const struct mq_owner *owner,
                         const struct partition *partition);
struct sibling *peers_find_successor (struct mq_owner *owner,
                                      const struct partition *partition);

/* owner_rows.c */

void rows_on_pause (struct mq_owner *owner, uint64_t now_us);
void rows_apply_owners (struct mq_owner *owner,
                        const struct mq_store_result *result);
void rows_apply_partitions (struct mq_owner *owner,
                            const struct mq_store_result *result);
void rows_scan_failed (struct mq_owner *owner);

/* owner_take.c */

void take_on_handover (struct mq_owner *owner,
                       const struct mq_handover_msg *handover);
void take_on_lost (struct mq_owner *owner, struct partition *partition);
void take_on_released (struct mq_owner *owner, struct partition *partition);
void take_unload_partition (struct mq_owner *owner,
                            struct partition *partition);
void take_claim_if_due (struct mq_owner *owner, struct partition *partition);
void take_on_claim_result (struct mq_owner *owner, struct partition *partition,
                           const struct mq_store_result *result);

/* owner_read.c */

void read_recovered (struct mq_owner *owner, struct target *target,
                     const struct mq_recovered_msg *recovered);
void read_on_target_up (struct mq_owner *owner, struct target *target);
void read_apply_record (struct mq_owner *owner, struct partition *partition,
                        const Mqlog__Record *record);
void read_send_next (struct mq_owner *owner, struct partition *partition);
void read_start (struct mq_owner *owner, struct partition *partition);
void read_on_result (struct mq_owner *owner, struct partition *partition,
                     const struct mq_store_result *result);
void read_activate (struct mq_owner *owner, struct partition *partition);

/* owner_tick.c */

void tick_owner (struct mq_owner *owner);
bool tick_store_result (struct mq_owner *owner,
                        const struct mq_store_result *result);
void tick_set_partitions (struct mq_owner *owner, uint32_t count);
void tick_start_confirmation (struct mq_owner *owner);
bool tick_is_drained (const struct mq_owner *owner);
uint64_t tick_next_us (const struct mq_owner *owner);
void tick_scan_owners (struct mq_owner *owner);

/* owner_log.c */

void log_append (struct mq_owner *owner, struct running *running,
                 Mqlog__Record *record);
struct hook *log_add_hook (struct mq_owner *owner, struct running *running,
                           enum hook_type type, uint32_t call,
                           uint32_t attempt, const char *host);
struct hook *log_add_reply_hook (struct mq_owner *owner,
                                 struct running *running, uint32_t peer,
                                 uint64_t handle);
void log_flush (struct mq_owner *owner);
void log_cancel_hooks (struct mq_owner *owner,
                       const struct partition *partition);
void log_send_transaction (struct mq_owner *owner);
void log_send_objects (struct mq_owner *owner);

/* owner_durable.c */

void durable_tick (struct mq_owner *owner);
bool durable_result (struct mq_owner *owner,
                     const struct mq_store_result *result);
void durable_drop_partition (struct mq_owner *owner,
                             struct partition *partition);
void durable_store_unavailable (struct mq_owner *owner);
void durable_store_up (struct mq_owner *owner);

/* owner_budget.c */

void budget_charge (struct mq_owner *owner, struct running *running,
                    uint64_t tokens);
void budget_reserve (struct running *running, uint64_t tokens);
void budget_release (struct running *running, uint64_t tokens);
bool budget_ensure_grant (struct mq_owner *owner, struct running *running,
                          uint32_t max_tokens);
uint64_t budget_elapsed_ms (const struct mq_owner *owner,
                            const struct running *running);
void budget_start_clock (struct mq_owner *owner, struct running *running);
void budget_forfeit (struct mq_owner *owner, struct running *running);
void budget_stop_clock (struct mq_owner *owner, struct running *running);
uint64_t budget_remaining_tokens (const struct running *running);
bool budget_has_turns (const struct running *running);
bool budget_has_time (const struct mq_owner *owner,
                      const struct running *running);

/* owner_chain.c */

struct running *chain_find (struct mq_owner *owner, struct mq_id id);
struct running *chain_add (struct mq_owner *owner, struct partition *partition,
                           struct mq_program *program);
void chain_remove (struct mq_owner *owner, struct running *running);
void chain_resume_call (struct mq_owner *owner, struct running *running);
void chain_advance (struct mq_owner *owner, struct running *running);
void chain_count_live (struct mq_owner *owner, const struct running *running,
                       int change);
uint32_t chain_count_organisation (const struct mq_owner *owner,
                                   const char *organisation);
struct running *chain_open (struct mq_owner *owner,
                            struct partition *partition, struct mq_id id,
                            const Mqlog__Opened *opened);
void chain_tick (struct mq_owner *owner, struct running *running);
void chain_hook (struct mq_owner *owner, struct hook *hook);
bool chain_limit_call (struct running *running);
struct call *chain_new_call (struct running *running,
                             const struct mq_service *service,
                             const struct mq_route *route);
uint32_t chain_cap_tokens (const struct running *running,
                           const struct mq_service *model, uint32_t wanted);
bool chain_prepare_model (struct running *running, struct call *call,
                          uint32_t wanted, const char *extra_input);

/* owner_end.c */

void end_call (struct mq_owner *owner, struct running *running,
               enum mq_error_type error, enum mq_ran ran, const char *body,
               const char *host);
void end_program (struct mq_owner *owner, struct running *running,
                  enum mq_error_type error, enum mq_ran ran,
                  const char *answer);
void end_begin_stop (struct mq_owner *owner, struct running *running,
                     enum mq_error_type why);
void end_child (struct mq_owner *owner, struct running *child);

/* owner_evict.c */

void evict_on_confirmed (struct mq_owner *owner, struct target *target,
                         struct mq_id program);
void evict_send_lease (struct mq_owner *owner, struct running *running,
                       struct target *target);
void evict_send (struct mq_owner *owner, struct running *running);
void evict_start (struct mq_owner *owner, struct running *running);
void evict_renew_leases (struct mq_owner *owner, struct running *running);

/* owner_drive.c */

enum mq_error_type drive_step (struct mq_owner *owner, struct running *running,
                               const struct mq_request_msg *request);
uint64_t drive_digest (const struct mq_request_msg *request);
void drive_start_queued_step (struct mq_owner *owner, struct running *running);

/* owner_place.c */

void place_start (struct mq_owner *owner, struct running *running,
                  struct call *call);
void place_retry (struct mq_owner *owner, struct running *running);
void place_on_intent_durable (struct mq_owner *owner, struct running *running,
                              uint32_t call, uint32_t attempt);
void place_discard_call (struct mq_owner *owner, struct running *running);
void place_adjust_load (struct mq_owner *owner, struct call *call, int change);
void place_detach_target (struct mq_owner *owner, struct running *running);
void place_abandon_attempt (struct mq_owner *owner, struct running *running);
struct shared_prompt place_shared_prompt (const struct mq_owner *owner,
                                          const struct running *running);
void place_record_cache (struct mq_owner *owner, struct running *running,
                         struct target *target);
void place_send_call (struct mq_owner *owner, struct running *running);
void place_schedule_retry (struct mq_owner *owner, struct running *running,
                           uint32_t wait_ms);
void place_call (struct mq_owner *owner, struct running *running);

/* owner_calls.c */

void calls_outcome (struct mq_owner *owner, struct target *target,
                    const struct mq_outcome_msg *outcome);
void calls_token (struct mq_owner *owner, struct target *target,
                  const struct mq_token_msg *token);
void calls_forget_when_durable (struct mq_owner *owner,
                                struct running *running, uint32_t call,
                                uint32_t attempt, const char *host);
void calls_send_forget (struct mq_owner *owner, struct mq_id program,
                        uint32_t call, uint32_t attempt, uint32_t partition,
                        uint64_t fence, const char *host);
void calls_retry_call (struct mq_owner *owner, struct running *running,
                       uint32_t wait_ms);
void calls_fail_unknown (struct mq_owner *owner, struct running *running);
void calls_fail_or_retry (struct mq_owner *owner, struct running *running,
                          enum mq_error_type error, enum mq_ran ran,
                          uint32_t retry_after_ms, const char *host);
void calls_accept_outcome (struct mq_owner *owner, struct running *running,
                           const struct mq_outcome_msg *outcome);
void calls_add_recovered (struct running *running, struct target *target,
                          bool is_running, struct mq_call_ref ref,
                          const struct mq_outcome_msg *outcome);
bool calls_matches (const struct running *running, const struct target *target,
                    struct mq_call_ref ref);

/* owner_settle.c */

void settle_on_seal_reply (struct mq_owner *owner, struct target *target,
                           const struct mq_sealed_msg *sealed);
void settle_on_target_up (struct mq_owner *owner, struct target *target);
void settle_on_target_down (struct mq_owner *owner, struct target *target);
void settle_reported_attempt (struct mq_owner *owner, struct target *target,
                              struct mq_call_ref ref, uint32_t partition);
void settle_logged_intent (struct mq_owner *owner, struct running *running);
void settle_resume_program (struct mq_owner *owner, struct running *running);
bool settle_cancel (struct mq_owner *owner, struct running *running);
void settle_tick (struct mq_owner *owner, struct running *running);

/* owner_events.c */

void events_on_caller_gone (struct mq_owner *owner, uint32_t peer,
                            uint64_t handle);
void events_on_peer_gone (struct mq_owner *owner, uint32_t peer);
void events_notify_waiters (struct mq_owner *owner, struct running *running,
                            enum mq_event_type type, uint32_t number,
                            uint32_t call, const char *body);
void events_final (struct mq_owner *owner, struct running *running);
void events_send_step_result (struct mq_owner *owner, struct running *running,
                              uint32_t call);
void events_refuse_step (struct mq_owner *owner, struct running *running,
                         uint32_t call, enum mq_error_type error);
void events_detach (struct mq_owner *owner, struct running *running);
void events_on_confirmed (struct mq_owner *owner, uint64_t before_us);
void events_fail_overdue_replies (struct mq_owner *owner);
char *events_final_body (TALLOC_CTX *ctx, const struct running *running);
void events_send_event (struct mq_owner *owner, uint32_t peer,
                        const struct mq_event_msg *event);
const char *events_redirect_for (const struct mq_owner *owner,
                                 const struct partition *partition);
void events_redirect_caller (struct mq_owner *owner, uint32_t peer,
                             uint64_t handle, enum mq_error_type error,
                             const char *redirect);
void events_queue_reply (struct mq_owner *owner, uint32_t partition,
                         uint32_t peer, const struct mq_event_msg *event);
bool events_is_outage (const struct mq_owner *owner);
void events_refuse (struct mq_owner *owner, const struct partition *partition,
                    uint32_t peer, uint64_t handle, enum mq_error_type error,
                    uint32_t retry_after_ms);
void events_send_final (struct mq_owner *owner, const struct running *running,
                        uint32_t peer, uint64_t handle);
void events_add_waiter (struct running *running, uint32_t peer,
                        uint64_t handle, const struct mq_request_msg *request,
                        uint32_t call);

/* owner_open.c */

void open_new (struct mq_owner *owner, struct partition *partition,
               uint32_t peer, uint64_t handle,
               const struct mq_request_msg *request);
void open_attach_caller (struct mq_owner *owner, struct running *running,
                         uint32_t peer, uint64_t handle,
                         const struct mq_request_msg *request);

/* owner_request.c */

void request_handle (struct mq_owner *owner, uint32_t peer, uint64_t handle,
                     const struct mq_request_msg *request);
void request_send_reply (struct mq_owner *owner, struct hook *hook);

#endif
