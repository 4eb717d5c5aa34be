/* base64.c - binary values in the platform's JSON.

   Needs: base64.h.  */

#include "base64.h"
#include <gnutls/gnutls.h>
#include <limits.h>
#include <string.h>

char *
mq_base64_encode (TALLOC_CTX *ctx, struct mq_bytes value)
{
  gnutls_datum_t from = { value.data, (unsigned int)value.len };
  gnutls_datum_t to = { NULL, 0 };
  char *text;

  if (value.len == 0)
    return talloc_strdup (ctx, "");
  if (value.len > INT_MAX || gnutls_base64_encode2 (&from, &to) != 0)
    return NULL;
  text = talloc_strndup (ctx, (const char *)to.data, to.size);
  gnutls_free (to.data);
  return text;
}

bool
mq_base64_decode (TALLOC_CTX *ctx, const char *text, struct mq_bytes *value)
{
  size_t len = strlen (text);
  gnutls_datum_t from = { (unsigned char *)text, (unsigned int)len };
  gnutls_datum_t to = { NULL, 0 };

  *value = (struct mq_bytes){ NULL, 0 };
  if (len == 0)
    return true;
  if (len > INT_MAX || gnutls_base64_decode2 (&from, &to) != 0)
    return false;
  value->data = talloc_memdup (ctx, to.data, to.size);
  value->len = to.size;
  gnutls_free (to.data);
  return value->data != NULL;
}
