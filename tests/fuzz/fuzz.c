/* fuzz.c - helpers shared by the fuzz targets.

   Needs: fuzz.h.  */

#include "fuzz.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
fuzz_fail (const char *text, const char *file, int line)
{
  fprintf (stderr, "%s:%d: check failed: %s\n", file, line, text);
  abort ();
}

char *
fuzz_next_line (TALLOC_CTX *ctx, struct fuzz_input *input)
{
  const uint8_t *end;
  size_t part;
  char *line;

  if (input->len == 0)
    return NULL;
  end = memchr (input->data, '\n', input->len);
  part = end == NULL ? input->len : (size_t)(end - input->data);
  line = talloc_strndup (ctx, (const char *)input->data, part);
  part += end != NULL;
  input->data += part;
  input->len -= part;
  return line;
}

char *
fuzz_rest (TALLOC_CTX *ctx, const struct fuzz_input *input)
{
  char *text = talloc_zero_array (ctx, char, input->len + 1);

  if (input->len > 0)
    memcpy (text, input->data, input->len);
  return text;
}
