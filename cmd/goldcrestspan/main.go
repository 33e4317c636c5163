// Command goldcrestspan is the one program of the project.
package main

func main() {}
