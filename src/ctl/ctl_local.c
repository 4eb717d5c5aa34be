/* ctl_local.c - commands of mimosactl that need no site: check, keys and
   hash-key; helpers shared by all commands.

   Needs: ctl_run.h, settings.h, gnutls (SHA-256).  */

#include "core/limits.h"
#include "ctl_run.h"
#include "router/router_settings.h"
#include "daemon/settings.h"
#include "daemon/settings_file.h"
#include <errno.h>
#include <gnutls/crypto.h>
#include <string.h>

#define KEY_MAX_BYTES 4096

/* Shared helpers.  */

enum mq_ctl_exit
mq_ctl_report_error (const struct mq_ctl_run *run,
                     const struct mq_error *error)
{
  char *line = mq_ctl_error_line (run->ctx, NULL, error);

  fprintf (run->err, "mimosactl: %s\n", line);
  talloc_free (line);
  if (run->json)
    {
      char *text = mq_ctl_json_line (
          run->ctx, json_pack ("{so}", "error", mq_ctl_error_json (error)));

      fputs (text, run->out);
      talloc_free (text);
    }
  return error->type == MQ_ERR_BAD_REQUEST || error->type == MQ_ERR_NOT_FOUND
             ? MQ_CTL_BAD_INPUT
             : MQ_CTL_FAILED;
}

static enum mq_ctl_exit
print_errors (const struct mq_ctl_run *run, const char *file,
              const struct mq_text_errors *errors)
{
  char *text = run->json ? mq_ctl_json_line (run->ctx,
                                             mq_ctl_errors_json (file, errors))
                         : mq_ctl_errors_text (run->ctx, file, errors);

  fputs (text, run->out);
  talloc_free (text);
  return errors->count == 0 ? MQ_CTL_OK : MQ_CTL_BAD_INPUT;
}

struct mq_text *
mq_ctl_read_text (const struct mq_ctl_run *run, const char *file,
                  char **source, size_t *len, enum mq_ctl_exit *code)
{
  struct mq_text_errors errors = { 0 };
  struct mq_error error;
  struct mq_text *text;

  *source = mq_settings_file_text (run->ctx, file, len, &error);
  if (*source == NULL)
    {
      mq_ctl_report_error (run, &error);
      *code = MQ_CTL_BAD_INPUT;
      return NULL;
    }
  text = mq_text_parse (run->ctx, *source, *len, &errors);
  if (text == NULL)
    *code = print_errors (run, file, &errors);
  return text;
}

/* Guards against header injection: the key is sent in a header line.  */
static bool
key_is_token (const char *key)
{
  if (*key == '\0')
    return false;
  for (; *key != '\0'; key++)
    if (*key <= ' ' || *key >= 0x7f)
      return false;
  return true;
}

static void
trim_newline (char *text, size_t len)
{
  while (len > 0 && (text[len - 1] == '\n' || text[len - 1] == '\r'))
    text[--len] = '\0';
}

/* Prints the error and returns false if the key file is not usable.  The key
   itself is never printed.  */
static bool
read_operator_key (const struct mq_ctl_run *run, const char **key)
{
  struct mq_error error;
  size_t len = 0;
  char *text;

  *key = NULL;
  if (run->operator_key_file == NULL)
    return true;
  text
      = mq_settings_file_text (run->ctx, run->operator_key_file, &len, &error);
  if (text != NULL)
    {
      trim_newline (text, len);
      *key = text;
      if (key_is_token (text))
        return true;
      mq_error_set (&error, MQ_ERR_BAD_REQUEST, run->operator_key_file,
                    "a file with one line, the operators' key");
    }
  mq_ctl_report_error (run, &error);
  return false;
}

struct mq_ctl *
mq_ctl_connect (const struct mq_ctl_run *run, enum mq_ctl_exit *code)
{
  struct mq_ctl_options options
      = { .platform = run->platform,
          .host_timeout_ms = MQ_CTL_HOST_TIMEOUT_MS };
  struct mq_error error = { 0 };
  struct mq_ctl *ctl;

  if (run->platform == NULL)
    {
      mq_error_set (&error, MQ_ERR_BAD_REQUEST, "--platform is not given",
                    "--platform http://IP:PORT");
      *code = mq_ctl_report_error (run, &error);
      return NULL;
    }
  *code = MQ_CTL_BAD_INPUT;
  if (!read_operator_key (run, &options.operator_key))
    return NULL;
  ctl = mq_ctl_create (run->ctx, &options, &error);
  if (ctl == NULL)
    *code = mq_ctl_report_error (run, &error);
  return ctl;
}

/* check  */

static enum mq_ctl_exit
check_settings (const struct mq_ctl_run *run, const char *file)
{
  struct mq_text_errors errors = { 0 };

  if (run->router)
    mq_router_settings_read (run->ctx, file, &errors);
  else
    mq_settings_read (run->ctx, run->role, file, &errors);
  return print_errors (run, file, &errors);
}

enum mq_ctl_exit
mq_ctl_check (const struct mq_ctl_run *run, const char *file)
{
  enum mq_ctl_exit code = MQ_CTL_OK;
  char *source;
  size_t len;

  if (run->settings)
    return check_settings (run, file);
  if (mq_ctl_read_text (run, file, &source, &len, &code) != NULL && run->json)
    {
      struct mq_text_errors none = { 0 };

      return print_errors (run, file, &none);
    }
  return code;
}

/* keys  */

enum mq_ctl_exit
mq_ctl_keys (const struct mq_ctl_run *run, const char *none)
{
  (void)none;
  if (run->json)
    {
      json_t *items = mq_ctl_keys_json ("text", mq_text_keys ());
      json_t *settings = mq_ctl_keys_json ("settings", mq_settings_keys ());

      json_t *router = mq_ctl_keys_json ("router", mq_router_settings_keys ());

      json_array_extend (items, settings);
      json_array_extend (items, router);
      json_decref (settings);
      json_decref (router);
      fputs (mq_ctl_json_line (run->ctx, items), run->out);
      return MQ_CTL_OK;
    }
  fprintf (run->out, "The operators' text\n\n%s\n",
           mq_ctl_keys_text (run->ctx, mq_text_keys ()));
  fprintf (run->out, "Settings of a process\n\n%s\n",
           mq_ctl_keys_text (run->ctx, mq_settings_keys ()));
  fprintf (run->out, "Settings of mimosa-routerd\n\n%s",
           mq_ctl_keys_text (run->ctx, mq_router_settings_keys ()));
  return MQ_CTL_OK;
}

/* hash-key  */

enum mq_ctl_exit
mq_ctl_hash_key (const struct mq_ctl_run *run, const char *none)
{
  char key[KEY_MAX_BYTES + 1];
  size_t len = fread (key, 1, KEY_MAX_BYTES, stdin);
  uint8_t hash[MQ_KEY_BYTES];
  struct mq_error error;

  (void)none;
  key[len] = '\0';
  trim_newline (key, len);
  if (!key_is_token (key) || strlen (key) == KEY_MAX_BYTES)
    {
      mq_error_set (&error, MQ_ERR_BAD_REQUEST, "the key on standard input",
                    "one line of printable characters without blanks");
      return mq_ctl_report_error (run, &error);
    }
  gnutls_hash_fast (GNUTLS_DIG_SHA256, key, strlen (key), hash);
  gnutls_memset (key, 0, sizeof key);
  for (size_t i = 0; i < sizeof hash; i++)
    fprintf (run->out, "%02x", hash[i]);
  fputc ('\n', run->out);
  return MQ_CTL_OK;
}
