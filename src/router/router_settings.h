/* router_settings.h - settings file of a router, INI.

   Needs: router.h, text_keys.h.  */

#ifndef MQ_ROUTER_SETTINGS_H
#define MQ_ROUTER_SETTINGS_H

#include "core/text/text_keys.h"
#include "router.h"

const struct mq_key_table *mq_router_settings_keys (void);
/* Returns NULL on errors; ERRORS then lists all of them, allocated on CTX.  */
struct mq_router_settings *
mq_router_settings_parse (TALLOC_CTX *ctx, const char *source, size_t len,
                          struct mq_text_errors *errors);
/* Reads and parses FILE; if it is unreadable, ERRORS holds IO with the
   errno.  */
struct mq_router_settings *
mq_router_settings_read (TALLOC_CTX *ctx, const char *file,
                         struct mq_text_errors *errors);

#endif
