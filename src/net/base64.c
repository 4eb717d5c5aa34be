/* base64.c - base64 encoding of binary values in the platform's JSON.

   Needs: base64.h, nettle.  */

#include "base64.h"
#include <nettle/base64.h>
#include <string.h>

char *
mq_base64_encode (TALLOC_CTX *ctx, struct mq_bytes value)
{
  size_t len = BASE64_ENCODE_RAW_LENGTH (value.len);
  char *text = talloc_size (ctx, len + 1);

  if (text == NULL)
    return NULL;
  base64_encode_raw (text, value.len, value.data);
  text[len] = '\0';
  return text;
}

bool
mq_base64_decode (TALLOC_CTX *ctx, const char *text, struct mq_bytes *value)
{
  struct base64_decode_ctx decode;
  size_t len = strlen (text);
  size_t out = BASE64_DECODE_LENGTH (len);

  *value = (struct mq_bytes){ NULL, 0 };
  if (len == 0)
    return true;
  value->data = talloc_size (ctx, out + 1);
  if (value->data == NULL)
    return false;
  base64_decode_init (&decode);
  if (base64_decode_update (&decode, &out, value->data, len, text)
      && base64_decode_final (&decode))
    {
      value->len = out;
      return true;
    }
  TALLOC_FREE (value->data);
  return false;
}
