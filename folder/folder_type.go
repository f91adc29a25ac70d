package folder

// A Folder is one merged and checked configuration. It is immutable.
type Folder struct {
	workspaces []Workspace
	routes     []Route
	groups     []Group
	services   []Service
	classes    []TargetClass
	policy     Policy
}

// Config holds the content of a Folder that is built in code.
type Config struct {
	Workspaces    []Workspace
	Routes        []Route
	Groups        []Group
	Services      []Service
	TargetClasses []TargetClass
	Policy        Policy
}

// New returns a folder with the content of config, without checking it. Merge
// returns a checked folder.
func New(config Config) *Folder {
	return &Folder{
		workspaces: config.Workspaces,
		routes:     config.Routes,
		groups:     config.Groups,
		services:   config.Services,
		classes:    config.TargetClasses,
		policy:     config.Policy,
	}
}

// Workspaces returns the workspaces in the order of their names.
func (folder *Folder) Workspaces() []Workspace { return folder.workspaces }

// Routes returns the routes in the order of their names.
func (folder *Folder) Routes() []Route { return folder.routes }

// Groups returns the model groups in the order of their names.
func (folder *Folder) Groups() []Group { return folder.groups }

// Services returns the services in the order of their names.
func (folder *Folder) Services() []Service { return folder.services }

// TargetClasses returns the target classes in the order of their names.
func (folder *Folder) TargetClasses() []TargetClass { return folder.classes }

// Policy returns the operators' weights and bounds.
func (folder *Folder) Policy() Policy { return folder.policy }
