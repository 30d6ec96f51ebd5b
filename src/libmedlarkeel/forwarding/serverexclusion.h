#pragma once

namespace medlarkeel {

/** Why a server of a pool can't be chosen for a request. */
enum class ServerExclusion
{
  /** The list says that the server finishes its requests and takes no more. */
  Draining,
  /** The server announced its shutdown in an answer. */
  Leaving,
  /** The server's availability zone is evacuated. */
  ZoneOut,
  /** The server was withdrawn before the list was restored from a copy. */
  Withheld,
  /** Another process responds at the server's address. */
  Misdirected,
  /** The server's entry is missing from the list since an outage. */
  Removed,
  /** The request was sent to the server before. */
  AlreadyTried,
  /** The server asked for no requests for a time. */
  NoRequestsAsked,
  /** The server limits its requests, and this entry was denied a permit. */
  PermitDenied,
  /** The server is cold and was sent as many requests as it can bear. */
  ColdLimitReached,
  /** The server failed or was full, and others can be chosen. */
  Avoided
};

/** @return The name of a reason, for answers to operators. */
const char*
ServerExclusionName(ServerExclusion aExclusion);

} // namespace medlarkeel
