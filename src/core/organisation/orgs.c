/* orgs.c - organisations of one configuration version: names, keys, limits.

   Needs: orgs.h, id.h, idmap.h.  */

#include "orgs.h"
#include "../id.h"
#include "../idmap.h"
#include <string.h>

/* Scope of callers without an organisation; no digest is all zeros.  */
#define NO_SCOPE "0000000000000000"

struct mq_orgs
{
  struct mq_org *list;
  size_t count;
  size_t capacity;
  struct mq_key_set *keys;
  struct mq_idmap *names;
};

struct mq_orgs *
mq_orgs_create (TALLOC_CTX *ctx, size_t count, uint64_t seed)
{
  struct mq_orgs *orgs = talloc_zero (ctx, struct mq_orgs);

  if (orgs == NULL)
    return NULL;
  orgs->capacity = count;
  orgs->list = talloc_zero_array (orgs, struct mq_org, count + 1);
  orgs->keys = mq_key_set_create (orgs, seed);
  orgs->names = mq_idmap_create (orgs);
  if (orgs->list == NULL || orgs->keys == NULL || orgs->names == NULL)
    TALLOC_FREE (orgs);
  return orgs;
}

void
mq_orgs_destroy (struct mq_orgs *orgs)
{
  talloc_free (orgs);
}

static void
set_scope (struct mq_org *org)
{
  static const char digits[] = "0123456789abcdef";
  uint8_t digest[MQ_KEY_BYTES];

  mq_key_digest (org->name, digest);
  for (size_t i = 0; i < (MQ_ORG_SCOPE_BYTES - 1) / 2; i++)
    {
      org->scope[2 * i] = digits[digest[i] >> 4];
      org->scope[2 * i + 1] = digits[digest[i] & 15];
    }
  org->scope[MQ_ORG_SCOPE_BYTES - 1] = '\0';
}

uint32_t
mq_orgs_add (struct mq_orgs *orgs, const struct mq_org *org,
             struct mq_error *error)
{
  struct mq_org *to = &orgs->list[orgs->count];
  size_t len = strlen (org->name);

  if (len == 0 || len >= MQ_ORG_NAME_MAX)
    {
      mq_error_set (error, MQ_ERR_TEXT_BAD_VALUE, "organisation",
                    "a name of 1 to 127 bytes");
      return MQ_KEY_NO_OWNER;
    }
  if (mq_orgs_find_name (orgs, org->name) != NULL)
    {
      mq_error_set (error, MQ_ERR_TEXT_DUPLICATE, org->name, NULL);
      return MQ_KEY_NO_OWNER;
    }
  *to = *org;
  to->name = talloc_strdup (orgs, org->name);
  if (orgs->count == orgs->capacity || to->name == NULL)
    {
      mq_error_set (error, MQ_ERR_NO_MEMORY, "organisations", NULL);
      return MQ_KEY_NO_OWNER;
    }
  set_scope (to);
  mq_idmap_put (orgs->names, mq_id_from_text (to->name), 0, to);
  return (uint32_t)orgs->count++;
}

bool
mq_orgs_add_key (struct mq_orgs *orgs, uint32_t index, const char *key,
                 struct mq_error *error)
{
  const char *name = orgs->list[index].name;
  uint8_t digest[MQ_KEY_BYTES];

  if (key[0] == '\0' || strlen (key) >= MQ_ORG_KEY_MAX)
    {
      mq_error_set (error, MQ_ERR_TEXT_BAD_VALUE, name,
                    "keys of 1 to 256 bytes");
      return false;
    }
  mq_key_digest (key, digest);
  switch (mq_key_set_add (orgs->keys, digest, index))
    {
    case MQ_KEY_ADDED:
      return true;
    case MQ_KEY_TAKEN:
      mq_error_set (error, MQ_ERR_TEXT_DUPLICATE, name,
                    "a key that no other organisation has");
      return false;
    case MQ_KEY_NO_MEMORY:
      mq_error_set (error, MQ_ERR_NO_MEMORY, name, NULL);
      return false;
    }
  return false;
}

const struct mq_org *
mq_orgs_find_key (const struct mq_orgs *orgs, const char *key)
{
  uint8_t digest[MQ_KEY_BYTES];
  uint32_t index;

  if (key == NULL || strlen (key) >= MQ_ORG_KEY_MAX)
    return NULL;
  mq_key_digest (key, digest);
  index = mq_key_set_find (orgs->keys, digest);
  return index == MQ_KEY_NO_OWNER ? NULL : &orgs->list[index];
}

const struct mq_org *
mq_orgs_find_name (const struct mq_orgs *orgs, const char *name)
{
  return mq_idmap_find (orgs->names, mq_id_from_text (name), 0);
}

size_t
mq_orgs_count (const struct mq_orgs *orgs)
{
  return orgs->count;
}

char *
mq_org_scoped_id (TALLOC_CTX *ctx, const struct mq_org *org, const char *id)
{
  return talloc_asprintf (ctx, "%s.%s", org == NULL ? NO_SCOPE : org->scope,
                          id);
}
