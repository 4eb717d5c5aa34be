/* text_values.h - the value of one key, as written and as kept.

   Needs: text_keys.h.  */

#ifndef MQ_TEXT_VALUES_H
#define MQ_TEXT_VALUES_H

#include "text_keys.h"

enum mq_value_result
{
  MQ_VALUE_OK,
  MQ_VALUE_MALFORMED,   /* not written as the type wants it */
  MQ_VALUE_OUT_OF_RANGE /* a number, but too small or too great */
};

/* Reads WRITTEN into the field of KEY in TARGET; strings below CTX.  */
enum mq_value_result mq_value_read (TALLOC_CTX *ctx, const struct mq_key *key,
                                    const char *written, void *target);
/* True when the value may be shown: a key pasted in place of its hash must
   not reach a screen or a log.  */
bool mq_value_is_public (const struct mq_key *key);

#endif
