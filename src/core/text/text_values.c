/* text_values.c - parsing and formatting of key values.

   Needs: text_values.h.  */

#include "text_values.h"
#include <string.h>

#define PORT_MAX 65535
#define URL_SCHEME "http://"

static void *
field (void *target, const struct mq_key *key)
{
  return (char *)target + key->offset;
}

static bool
is_name_character (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

bool
mq_name_is_valid (const char *name, size_t len)
{
  if (len == 0 || len >= MQ_NAME_MAX || name[0] == '-' || name[0] == '_')
    return false;
  for (size_t i = 0; i < len; i++)
    if (!is_name_character (name[i]))
      return false;
  return true;
}

static bool
is_path (const char *text)
{
  if (text[0] != '/' || strlen (text) >= MQ_SUBJECT_MAX)
    return false;
  for (; *text != '\0'; text++)
    if (*text <= ' ' || *text == 0x7f)
      return false;
  return true;
}

/* Accepts decimal digits only, without sign or blanks.  */
static bool
read_number (const char *text, uint64_t *number, const char **end)
{
  uint64_t value = 0;
  const char *at = text;

  for (; *at >= '0' && *at <= '9'; at++)
    {
      uint64_t digit = (uint64_t)(*at - '0');

      if (value > (UINT64_MAX - digit) / 10)
        value = UINT64_MAX;
      else
        value = value * 10 + digit;
    }
  *number = value;
  *end = at;
  return at > text;
}

static bool
read_port (const char *text)
{
  uint64_t port;
  const char *end;

  return read_number (text, &port, &end) && *end == '\0' && port <= PORT_MAX;
}

static bool
is_ipv4_port (const char *text)
{
  for (int i = 0; i < 4; i++)
    {
      uint64_t part;
      const char *end;

      if (!read_number (text, &part, &end) || part > 255 || end - text > 3
          || *end != (i < 3 ? '.' : ':'))
        return false;
      text = end + 1;
    }
  return read_port (text);
}

/* Checks the characters but not the full grammar; the process validates the
   address at startup.  */
static bool
is_ipv6_port (const char *text)
{
  size_t len;

  if (text[0] != '[')
    return false;
  len = strspn (text + 1, "0123456789abcdefABCDEF:.");
  return len >= 2 && strncmp (text + 1 + len, "]:", 2) == 0
         && memchr (text + 1, ':', len) != NULL && read_port (text + len + 3);
}

static bool
is_address (const char *text)
{
  return is_ipv4_port (text) || is_ipv6_port (text);
}

static bool
is_url (const char *text)
{
  size_t scheme = strlen (URL_SCHEME);

  return strncmp (text, URL_SCHEME, scheme) == 0 && is_address (text + scheme);
}

static bool
string_is_valid (const struct mq_key *key, const char *text)
{
  size_t len = strlen (text);

  switch (key->type)
    {
    case MQ_KEY_NAME:
      return mq_name_is_valid (text, len);
    case MQ_KEY_STRING:
      return len >= key->min && len <= key->max;
    case MQ_KEY_PATH:
      return is_path (text);
    case MQ_KEY_ADDRESS:
      return is_address (text);
    case MQ_KEY_URL:
      return is_url (text);
    case MQ_KEY_LINES:
      return true;
    case MQ_KEY_UINT32:
    case MQ_KEY_UINT64:
    case MQ_KEY_YES_NO:
    case MQ_KEY_CHOICE:
    case MQ_KEY_HEX_32:
    case MQ_KEY_NAMES:
      break;
    }
  return false;
}

static enum mq_value_result
read_string (TALLOC_CTX *ctx, const struct mq_key *key, const char *text,
             void *target)
{
  const char **kept = field (target, key);

  if (!string_is_valid (key, text))
    return MQ_VALUE_MALFORMED;
  if (key->type == MQ_KEY_LINES && *kept != NULL)
    *kept = talloc_asprintf (ctx, "%s\n%s", *kept, text);
  else
    *kept = talloc_strdup (ctx, text);
  return MQ_VALUE_OK;
}

static enum mq_value_result
read_integer (const struct mq_key *key, const char *text, void *target)
{
  uint64_t number;
  const char *end;

  if (!read_number (text, &number, &end) || *end != '\0')
    return MQ_VALUE_MALFORMED;
  if (number < key->min || number > key->max)
    return MQ_VALUE_OUT_OF_RANGE;
  if (key->type == MQ_KEY_UINT32)
    *(uint32_t *)field (target, key) = (uint32_t)number;
  else
    *(uint64_t *)field (target, key) = number;
  return MQ_VALUE_OK;
}

static enum mq_value_result
read_yes_no (const struct mq_key *key, const char *text, void *target)
{
  bool yes = strcmp (text, "yes") == 0;

  if (!yes && strcmp (text, "no") != 0)
    return MQ_VALUE_MALFORMED;
  *(bool *)field (target, key) = yes;
  return MQ_VALUE_OK;
}

static enum mq_value_result
read_choice (const struct mq_key *key, const char *text, void *target)
{
  for (const struct mq_key_choice *c = key->choices; c->word != NULL; c++)
    if (strcmp (c->word, text) == 0)
      {
        memcpy (field (target, key), &c->value, sizeof c->value);
        return MQ_VALUE_OK;
      }
  return MQ_VALUE_MALFORMED;
}

static int
hex_digit (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

static enum mq_value_result
read_hex (const struct mq_key *key, const char *text, void *target)
{
  uint8_t bytes[MQ_KEY_BYTES];

  if (strlen (text) != 2 * (size_t)MQ_KEY_BYTES)
    return MQ_VALUE_MALFORMED;
  for (size_t i = 0; i < MQ_KEY_BYTES; i++)
    {
      int high = hex_digit (text[2 * i]);
      int low = hex_digit (text[2 * i + 1]);

      if (high < 0 || low < 0)
        return MQ_VALUE_MALFORMED;
      bytes[i] = (uint8_t)(high << 4 | low);
    }
  memcpy (field (target, key), bytes, sizeof bytes);
  return MQ_VALUE_OK;
}

enum mq_value_result
mq_value_read (TALLOC_CTX *ctx, const struct mq_key *key, const char *written,
               void *target)
{
  switch (key->type)
    {
    case MQ_KEY_NAME:
    case MQ_KEY_STRING:
    case MQ_KEY_LINES:
    case MQ_KEY_PATH:
    case MQ_KEY_ADDRESS:
    case MQ_KEY_URL:
      return read_string (ctx, key, written, target);
    case MQ_KEY_UINT32:
    case MQ_KEY_UINT64:
      return read_integer (key, written, target);
    case MQ_KEY_YES_NO:
      return read_yes_no (key, written, target);
    case MQ_KEY_CHOICE:
      return read_choice (key, written, target);
    case MQ_KEY_HEX_32:
      return read_hex (key, written, target);
    case MQ_KEY_NAMES:
      return written[0] == '\0' ? MQ_VALUE_MALFORMED : MQ_VALUE_OK;
    }
  return MQ_VALUE_MALFORMED;
}

bool
mq_value_is_public (const struct mq_key *key)
{
  return key->type != MQ_KEY_HEX_32;
}

/* Formatting.  */

static char *
print_choices (TALLOC_CTX *ctx, const struct mq_key *key)
{
  char *text = talloc_strdup (ctx, "");

  for (const struct mq_key_choice *c = key->choices; c->word != NULL; c++)
    text = talloc_asprintf_append (text, "%s%s", *text == '\0' ? "" : ", ",
                                   c->word);
  return text;
}

char *
mq_key_allowed (TALLOC_CTX *ctx, const struct mq_key *key)
{
  switch (key->type)
    {
    case MQ_KEY_NAME:
      return talloc_strdup (ctx, MQ_NAME_ALLOWED);
    case MQ_KEY_STRING:
      return talloc_asprintf (ctx, "text of %llu to %llu bytes",
                              (unsigned long long)key->min,
                              (unsigned long long)key->max);
    case MQ_KEY_LINES:
      return talloc_strdup (ctx, "one line of text each time");
    case MQ_KEY_PATH:
      return talloc_strdup (ctx, "a path that begins with /");
    case MQ_KEY_ADDRESS:
      return talloc_strdup (ctx, "IP:PORT");
    case MQ_KEY_URL:
      return talloc_strdup (ctx, "http://IP:PORT");
    case MQ_KEY_UINT32:
    case MQ_KEY_UINT64:
      return talloc_asprintf (ctx, "%llu..%llu", (unsigned long long)key->min,
                              (unsigned long long)key->max);
    case MQ_KEY_YES_NO:
      return talloc_strdup (ctx, "yes, no");
    case MQ_KEY_CHOICE:
      return print_choices (ctx, key);
    case MQ_KEY_HEX_32:
      return talloc_strdup (ctx, "64 hexadecimal digits");
    case MQ_KEY_NAMES:
      return talloc_strdup (ctx, "names with commas between");
    }
  return talloc_strdup (ctx, "");
}

static const char *
choice_word (const struct mq_key *key, const void *kept)
{
  int value;

  memcpy (&value, kept, sizeof value);
  for (const struct mq_key_choice *c = key->choices; c->word != NULL; c++)
    if (c->value == value)
      return c->word;
  return "";
}

static char *
print_hex (TALLOC_CTX *ctx, const uint8_t *bytes)
{
  char *text = talloc_strdup (ctx, "");

  for (size_t i = 0; i < MQ_KEY_BYTES; i++)
    text = talloc_asprintf_append (text, "%02x", bytes[i]);
  return text;
}

char *
mq_key_print (TALLOC_CTX *ctx, const struct mq_key *key, const void *target)
{
  const void *kept = (const char *)target + key->offset;

  switch (key->type)
    {
    case MQ_KEY_NAME:
    case MQ_KEY_STRING:
    case MQ_KEY_LINES:
    case MQ_KEY_PATH:
    case MQ_KEY_ADDRESS:
    case MQ_KEY_URL:
      {
        const char *text = *(const char *const *)kept;

        return talloc_strdup (ctx, text == NULL ? "" : text);
      }
    case MQ_KEY_UINT32:
      return talloc_asprintf (ctx, "%u", *(const uint32_t *)kept);
    case MQ_KEY_UINT64:
      return talloc_asprintf (ctx, "%llu",
                              (unsigned long long)*(const uint64_t *)kept);
    case MQ_KEY_YES_NO:
      return talloc_strdup (ctx, *(const bool *)kept ? "yes" : "no");
    case MQ_KEY_CHOICE:
      return talloc_strdup (ctx, choice_word (key, kept));
    case MQ_KEY_HEX_32:
      return print_hex (ctx, kept);
    case MQ_KEY_NAMES:
      break;
    }
  return talloc_strdup (ctx, "");
}
