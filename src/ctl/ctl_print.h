/* ctl_print.h - formats errors, keys and rollouts as text and as JSON.

   Needs: text_keys.h, ctl_fleet.h, jansson.  */

#ifndef MQ_CTL_PRINT_H
#define MQ_CTL_PRINT_H

#include "core/text/text_keys.h"
#include "ctl_fleet.h"

/* Formats "cause: subject (allowed: …; remedy)", after "FILE:LINE:COLUMN: "
   if FILE is not NULL.  */
char *mq_ctl_error_line (TALLOC_CTX *ctx, const char *file,
                         const struct mq_error *error);
/* The same as a JSON object; the caller owns the reference.  */
json_t *mq_ctl_error_json (const struct mq_error *error);
/* One line for each error of FILE.  */
char *mq_ctl_errors_text (TALLOC_CTX *ctx, const char *file,
                          const struct mq_text_errors *errors);
json_t *mq_ctl_errors_json (const char *file,
                            const struct mq_text_errors *errors);

/* Every key of TABLE with its allowed values, default and help text.  */
char *mq_ctl_keys_text (TALLOC_CTX *ctx, const struct mq_key_table *table);
/* FILE is stored in every item: "text", "settings" or "router".  */
json_t *mq_ctl_keys_json (const char *file, const struct mq_key_table *table);

/* The number of hosts with VERSION, and the hosts without it.  */
char *mq_ctl_rollout_text (TALLOC_CTX *ctx,
                           const struct mq_ctl_rollout *rollout,
                           uint64_t version);
json_t *mq_ctl_rollout_json (const struct mq_ctl_rollout *rollout);

/* Returns VALUE as one line of JSON, a child of CTX; releases VALUE.  */
char *mq_ctl_json_line (TALLOC_CTX *ctx, json_t *value);

#endif
