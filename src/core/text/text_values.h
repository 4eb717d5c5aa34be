/* text_values.h - parsing and formatting of key values.

   Needs: text_keys.h.  */

#ifndef MQ_TEXT_VALUES_H
#define MQ_TEXT_VALUES_H

#include "text_keys.h"

enum mq_value_result
{
  MQ_VALUE_OK,
  MQ_VALUE_MALFORMED,   /* invalid syntax for the type */
  MQ_VALUE_OUT_OF_RANGE /* number too small or too large */
};

/* Parses WRITTEN into the field of KEY in TARGET; strings are allocated below
   CTX.  */
enum mq_value_result mq_value_read (TALLOC_CTX *ctx, const struct mq_key *key,
                                    const char *written, void *target);
/* False if the value must not be displayed or logged: an operator may have
   pasted a secret key instead of its hash.  */
bool mq_value_is_public (const struct mq_key *key);

#endif
