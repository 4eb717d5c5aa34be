/* settings_file.c - reads the text of a settings file.

   Needs: settings_file.h, the C library's files.  */

#include "settings_file.h"
#include "core/limits.h"
#include <errno.h>
#include <stdio.h>
#include <string.h>

static char *
read_stream (TALLOC_CTX *ctx, FILE *stream, size_t *len)
{
  /* One byte over the limit, so that the parser detects a longer file.  */
  char *text = talloc_array (ctx, char, MQ_TEXT_MAX_BYTES + 2);
  int failure;

  if (text == NULL)
    return NULL;
  errno = 0;
  *len = fread (text, 1, MQ_TEXT_MAX_BYTES + 1, stream);
  failure = errno;
  text[*len] = '\0';
  if (ferror (stream))
    TALLOC_FREE (text);
  errno = failure;
  return text;
}

char *
mq_settings_file_text (TALLOC_CTX *ctx, const char *file, size_t *len,
                       struct mq_error *error)
{
  bool standard = strcmp (file, "-") == 0;
  FILE *stream = standard ? stdin : fopen (file, "re");
  char *text = stream == NULL ? NULL : read_stream (ctx, stream, len);

  if (text == NULL)
    {
      int failure = errno;

      mq_error_set (error, MQ_ERR_IO, file, strerror (failure));
      error->number = failure;
    }
  if (stream != NULL && !standard)
    fclose (stream);
  return text;
}

char *
mq_settings_file_read (TALLOC_CTX *ctx, const char *file, size_t *len,
                       struct mq_text_errors *errors)
{
  struct mq_error error;
  struct mq_error_list list = { ctx, errors };
  struct mq_text_position nowhere = { 0, 0 };
  char *text = mq_settings_file_text (ctx, file, len, &error);

  if (text != NULL)
    return text;
  memset (errors, 0, sizeof *errors);
  mq_error_list_add (&list, MQ_ERR_IO, nowhere, file, error.allowed);
  if (errors->count > 0)
    errors->items[0].number = error.number;
  return NULL;
}
