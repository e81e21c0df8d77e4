#pragma once

/// \file Forward declarations of the main types.

namespace gooseberrysail {

struct Error;

class Catalogue;
struct CatalogueEntry;

class EntryRole;
class AgentRole;
class ControlRole;

class Router;
class Admission;
class PlacementPlanner;

class RaftNode;
class ControlStore;

class IoRuntime;
class PeerMesh;
class HttpServer;
class HttpClient;

struct ProcessSettings;

} // namespace gooseberrysail
