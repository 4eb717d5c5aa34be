/* ctl_print.h - errors, keys and spread as lines for people and as JSON.

   Needs: text_keys.h, ctl_fleet.h, jansson.  */

#ifndef MQ_CTL_PRINT_H
#define MQ_CTL_PRINT_H

#include "core/text/text_keys.h"
#include "ctl_fleet.h"

/* "cause: subject (allowed: …; remedy)", with "FILE:LINE:COLUMN: " before
   it when FILE is not NULL.  */
char *mq_ctl_error_line (TALLOC_CTX *ctx, const char *file,
                         const struct mq_error *error);
/* The same as an object; the caller holds a reference.  */
json_t *mq_ctl_error_json (const struct mq_error *error);
/* A line for each error of FILE.  */
char *mq_ctl_errors_text (TALLOC_CTX *ctx, const char *file,
                          const struct mq_text_errors *errors);
json_t *mq_ctl_errors_json (const char *file,
                            const struct mq_text_errors *errors);

/* Every key of TABLE with what it takes, its default and its help.  */
char *mq_ctl_keys_text (TALLOC_CTX *ctx, const struct mq_key_table *table);
/* FILE: "text" or "settings", written into every item.  */
json_t *mq_ctl_keys_json (const char *file, const struct mq_key_table *table);

/* How many hosts hold a version and who is missing.  */
char *mq_ctl_rollout_text (TALLOC_CTX *ctx,
                           const struct mq_ctl_rollout *spread,
                           uint64_t version);
json_t *mq_ctl_rollout_json (const struct mq_ctl_rollout *spread);

/* JSON on one line with a newline, below CTX; releases VALUE.  */
char *mq_ctl_json_line (TALLOC_CTX *ctx, json_t *value);

#endif
