/* router_settings.h - settings of a routing process, INI, checked whole.

   Needs: router.h, text_keys.h.  */

#ifndef MQ_ROUTER_SETTINGS_H
#define MQ_ROUTER_SETTINGS_H

#include "core/text/text_keys.h"
#include "router.h"

const struct mq_key_table *mq_router_settings_keys (void);
/* NULL when there is an error; ERRORS then lists all of them, below CTX.  */
struct mq_router_settings *
mq_router_settings_parse (TALLOC_CTX *ctx, const char *source, size_t len,
                          struct mq_text_errors *errors);
/* A file that can't be read is IO with the errno as number.  */
struct mq_router_settings *
mq_router_settings_read (TALLOC_CTX *ctx, const char *file,
                         struct mq_text_errors *errors);

#endif
