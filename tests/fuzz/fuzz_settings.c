/* fuzz_settings.c - settings files (mq_settings_parse), read for both roles.

   Needs: fuzz.h, settings.h.  */

#include "fuzz.h"
#include "daemon/settings.h"

FUZZ_MAIN (settings)

static void
check_settings (const struct mq_settings *settings, enum mq_host_role role)
{
  FUZZ_CHECK (settings->host != NULL && settings->host[0] != '\0');
  FUZZ_CHECK (settings->data_centre != NULL && settings->region != NULL);
  FUZZ_CHECK (settings->http != NULL && settings->peer != NULL);
  FUZZ_CHECK (settings->platform != NULL);
  FUZZ_CHECK (role == MQ_HOST_TARGET || settings->worker_count == 0);
  for (size_t i = 0; i < settings->worker_count; i++)
    FUZZ_CHECK (settings->worker_urls[i] != NULL
                && settings->workers[i].service != NULL);
}

static bool
read_for (enum mq_host_role role, const uint8_t *data, size_t len)
{
  TALLOC_CTX *ctx = talloc_new (NULL);
  struct mq_text_errors errors = { 0 };
  struct mq_settings *settings
      = mq_settings_parse (ctx, role, (const char *)data, len, &errors);
  bool accepted = settings != NULL;

  if (accepted)
    check_settings (settings, role);
  else
    FUZZ_CHECK (errors.count > 0);
  talloc_free (ctx);
  return accepted;
}

bool
fuzz_settings (const uint8_t *data, size_t len)
{
  bool entry = read_for (MQ_HOST_ENTRY, data, len);
  bool target = read_for (MQ_HOST_TARGET, data, len);

  return entry || target;
}
