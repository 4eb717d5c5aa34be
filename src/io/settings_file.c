/* settings_file.c - the text of a settings file.

   Needs: settings_file.h, the C library's files.  */

#include "settings_file.h"
#include "../core/limits.h"
#include <errno.h>
#include <stdio.h>
#include <string.h>

static char *
read_file (TALLOC_CTX *ctx, const char *name, size_t *len)
{
  bool standard = strcmp (name, "-") == 0;
  FILE *file = standard ? stdin : fopen (name, "r");
  char *text;
  int failure;

  if (file == NULL)
    return NULL;
  /* One byte more than is allowed, so that a longer file is noticed.  */
  text = talloc_array (ctx, char, MQ_TEXT_MAX_BYTES + 1);
  errno = 0;
  *len = text == NULL ? 0 : fread (text, 1, MQ_TEXT_MAX_BYTES + 1, file);
  failure = errno;
  if (text != NULL && ferror (file))
    TALLOC_FREE (text);
  if (!standard)
    fclose (file);
  errno = failure;
  return text;
}

char *
mq_settings_file_read (TALLOC_CTX *ctx, const char *file, size_t *len,
                       struct mq_text_errors *errors)
{
  char *source = read_file (ctx, file, len);
  struct mq_error_list list = { ctx, errors };
  struct mq_place nowhere = { 0, 0 };
  int failure = errno;

  if (source != NULL)
    return source;
  memset (errors, 0, sizeof *errors);
  mq_error_list_add (&list, MQ_ERR_IO, nowhere, file, strerror (failure));
  if (errors->count > 0)
    errors->items[0].number = failure;
  return NULL;
}
